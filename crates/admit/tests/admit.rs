//! What can't end in time is refused with a time to come back; teams get their
//! share of a busy service and may borrow of an idle one; tries are bounded.

use std::time::{Duration, Instant};

use admit::{Admission, Asked, BudgetSettings, Entitled, Pressure, RetryBudget, Settings, Why};
use base::Name;
use quickcheck::{Gen, QuickCheck};

const EVEN: Entitled = Entitled { weight: 1.0, quota: None };

fn pressure(wait_ms: u64, busy: f64) -> Pressure {
    let run = Duration::from_millis(50);
    Pressure { wait: Duration::from_millis(wait_ms), run, busy, slots: 80 }
}

/// Sends at a rate for two seconds; how many of each team were admitted.
fn admitted(rates: &[(&str, usize, Entitled)], busy: f64) -> Vec<usize> {
    let mut admission = Admission::new(Settings::default());
    let start = Instant::now();
    let mut counts = vec![0; rates.len()];
    for ms in 0..4_000 {
        let now = start + Duration::from_millis(ms);
        for (i, (team, rate, entitled)) in rates.iter().enumerate() {
            if !ms.is_multiple_of(1_000 / *rate as u64) {
                continue;
            }
            let team = Name::from(*team);
            let left = Duration::from_secs(5);
            let asked = Asked { team: &team, entitled: *entitled, tasks: 1, left };
            counts[i] += usize::from(
                admission.admit(&asked, pressure(u64::from(busy > 0.8), busy), 0.5, now).is_ok(),
            );
        }
    }
    counts
}

macro_rules! shares {
    ($($name:ident: $rates:expr, $busy:expr => $check:expr;)*) => {
        $(#[test]
        fn $name() {
            let counts = admitted(&$rates, $busy);
            let check: fn(&[usize]) -> bool = $check;
            assert!(check(&counts), "{counts:?}");
        })*
    };
}

shares! {
    an_idle_service_lends: [("a", 500, EVEN), ("b", 50, EVEN)], 0.5 => |n| n == [2_000, 200];
    a_busy_one_keeps_to_shares: [("a", 500, EVEN), ("b", 50, EVEN)], 0.9 => |n| n[1] == 200 && n[0] < 400;
    a_team_alone_takes_all: [("a", 500, EVEN)], 0.9 => |n| n == [2_000];
    weights_count: [("a", 500, Entitled { weight: 3.0, ..EVEN }), ("b", 50, EVEN)], 0.9 => |n| n[1] == 200 && (500..1_000).contains(&n[0]);
    a_quota_bounds: [("a", 500, Entitled { quota: Some(100.0), ..EVEN })], 0.9 => |n| (360..600).contains(&n[0]);
}

#[test]
fn what_can_not_end_in_time_is_refused_and_comes_back_spread_out() {
    fn run(wait_ms: u16, left_ms: u16, tasks: u16, spread: u8) {
        let team = Name::from("a");
        let left = Duration::from_millis(left_ms.into());
        let asked = Asked { team: &team, entitled: EVEN, tasks: tasks.into(), left };
        let pressure = pressure(wait_ms.into(), 0.9);
        let mut admission = Admission::new(Settings::default());
        let spread = f64::from(spread) / 255.0;
        let rounds = u32::from(tasks).div_ceil(80);
        let run = pressure.run * rounds;
        let fits = run <= left && pressure.wait <= left.saturating_sub(run).mul_f64(0.6);
        match admission.admit(&asked, pressure, spread, Instant::now()) {
            Ok(()) => assert!(fits),
            Err(refusal) => {
                assert!(!fits && refusal.why == Why::Backlog);
                let base = refusal.retry_after.div_f64(1.0 + spread);
                assert!(base >= Duration::from_millis(99));
            }
        }
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 9)).quickcheck(run as fn(u16, u16, u16, u8));
}

#[test]
fn further_tries_are_a_share_of_first_ones() {
    fn run(tries: Vec<bool>) {
        let mut budget = RetryBudget::new(BudgetSettings { share: 0.1, most: 5.0 });
        let (mut first, mut further) = (0, 0);
        for is_first in tries {
            if is_first {
                budget.first();
                first += 1;
            } else {
                further += u32::from(budget.take());
            }
        }
        assert!(f64::from(further) <= 5.0 + 0.1 * f64::from(first) + 1e-6);
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(300, 4)).quickcheck(run as fn(Vec<bool>));
}
