//! How long answers are waited for, under the times that backend servers take.

use std::time::Duration;

use lease::AdaptiveTimeout;
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 50;
const ANSWERS: u32 = 5_000;
/// Answers that may be given up though they would have come: one in so many.
const GIVEN_UP: u32 = 1_000;
/// What a lost answer may cost: half of the 60 ms that an objective leaves
/// beside the work.
const LOST_COST: Duration = Duration::from_millis(30);

/// Answers of 1 to 4 ms, some of which take longer.
struct Load {
    /// share of the slow ones
    slow: f64,
    /// their longest time, ms
    longest: f64,
}

macro_rules! waits_enough {
    ($($name:ident: $load:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..SEEDS {
                let mut rng = StdRng::seed_from_u64(seed);
                let mut patience = AdaptiveTimeout::default();
                let mut early = 0;
                for _ in 0..ANSWERS {
                    let took = $load.draw(&mut rng);
                    early += u32::from(took > patience.limit());
                    patience.record_answer(took);
                }
                assert!(early <= ANSWERS / GIVEN_UP, "seed {seed}: {early} answers given up");
            }
        }
    )*};
}

waits_enough! {
    even_answers: Load { slow: 0.0, longest: 4.0 };
    one_in_thirty_takes_five_times_as_long: Load { slow: 0.03, longest: 22.0 };
    one_in_a_hundred_takes_five_times_as_long: Load { slow: 0.01, longest: 22.0 };
    one_in_five_takes_five_times_as_long: Load { slow: 0.2, longest: 22.0 };
    one_in_thirty_takes_twenty_times_as_long: Load { slow: 0.03, longest: 80.0 };
}

#[test]
fn a_lost_answer_costs_little() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let load = Load { slow: 0.03, longest: 22.0 };
        let mut patience = AdaptiveTimeout::default();
        for _ in 0..ANSWERS {
            patience.record_answer(load.draw(&mut rng));
        }
        assert!(patience.limit() <= LOST_COST, "seed {seed}: {:?}", patience.limit());
    }
}

#[test]
fn slow_answers_of_long_ago_are_forgotten() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut patience = AdaptiveTimeout::default();
    patience.record_answer(Duration::from_millis(90));
    for _ in 0..1_000 {
        patience.record_answer(Load { slow: 0.0, longest: 4.0 }.draw(&mut rng));
    }
    assert!(patience.limit() <= LOST_COST, "{:?}", patience.limit());
}

impl Load {
    fn draw(&self, rng: &mut StdRng) -> Duration {
        let ms = match rng.random_bool(self.slow) {
            true => rng.random_range(self.longest / 2.0..self.longest),
            false => rng.random_range(1.0..4.0),
        };
        Duration::from_secs_f64(ms / 1000.0)
    }
}
