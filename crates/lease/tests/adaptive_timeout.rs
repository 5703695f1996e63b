//! The adaptive timeout under the latencies of backend servers.

use std::time::Duration;

use lease::AdaptiveTimeout;
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 50;
const ANSWERS: u32 = 5_000;
/// One in so many answers may arrive after the timeout.
const ANSWERS_PER_TIMEOUT: u32 = 1_000;
/// Longest timeout, the cost of a lost answer: half of the 60 ms that an
/// objective leaves beside the work.
const MAX_COST: Duration = Duration::from_millis(30);

/// Answers within 1 to 4 ms, some of which take longer.
struct Latencies {
    /// share of slow answers
    slow_share: f64,
    /// longest time of a slow answer, milliseconds
    max_slow_ms: f64,
}

macro_rules! rarely_too_short {
    ($($name:ident: $latencies:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..SEEDS {
                let mut rng = StdRng::seed_from_u64(seed);
                let mut timeout = AdaptiveTimeout::default();
                let mut late = 0;
                for _ in 0..ANSWERS {
                    let latency = $latencies.draw(&mut rng);
                    late += u32::from(latency > timeout.limit());
                    timeout.record_answer(latency);
                }
                assert!(late <= ANSWERS / ANSWERS_PER_TIMEOUT, "seed {seed}: {late} answers after the timeout");
            }
        }
    )*};
}

rarely_too_short! {
    even_answers: Latencies { slow_share: 0.0, max_slow_ms: 4.0 };
    one_in_thirty_takes_five_times_as_long: Latencies { slow_share: 0.03, max_slow_ms: 22.0 };
    one_in_a_hundred_takes_five_times_as_long: Latencies { slow_share: 0.01, max_slow_ms: 22.0 };
    one_in_five_takes_five_times_as_long: Latencies { slow_share: 0.2, max_slow_ms: 22.0 };
    one_in_thirty_takes_twenty_times_as_long: Latencies { slow_share: 0.03, max_slow_ms: 80.0 };
}

#[test]
fn a_lost_answer_costs_little() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let latencies = Latencies { slow_share: 0.03, max_slow_ms: 22.0 };
        let mut timeout = AdaptiveTimeout::default();
        for _ in 0..ANSWERS {
            timeout.record_answer(latencies.draw(&mut rng));
        }
        assert!(timeout.limit() <= MAX_COST, "seed {seed}: {:?}", timeout.limit());
    }
}

#[test]
fn old_slow_answers_are_forgotten() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut timeout = AdaptiveTimeout::default();
    timeout.record_answer(Duration::from_millis(90));
    for _ in 0..1_000 {
        timeout.record_answer(Latencies { slow_share: 0.0, max_slow_ms: 4.0 }.draw(&mut rng));
    }
    assert!(timeout.limit() <= MAX_COST, "{:?}", timeout.limit());
}

impl Latencies {
    fn draw(&self, rng: &mut StdRng) -> Duration {
        let ms = match rng.random_bool(self.slow_share) {
            true => rng.random_range(self.max_slow_ms / 2.0..self.max_slow_ms),
            false => rng.random_range(1.0..4.0),
        };
        Duration::from_secs_f64(ms / 1000.0)
    }
}
