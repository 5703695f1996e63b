//! Refusal of submissions that can't end in time, fair shares of a busy service,
//! borrowing on an idle one, and the retry budget.

use std::time::{Duration, Instant};

use admission::{
    Admission, Entitlement, RefusalReason, RetryBudget, RetryBudgetSettings, ServiceLoad, Settings,
    Submission,
};
use base::Name;
use quickcheck::{Gen, QuickCheck};

const EVEN: Entitlement = Entitlement { weight: 1.0, quota: None };

fn load(wait_ms: u64, busy: f64) -> ServiceLoad {
    let run = Duration::from_millis(50);
    ServiceLoad { wait: Duration::from_millis(wait_ms), run, busy_share: busy, slots: 80 }
}

/// Capacity of the modelled service.
const TASKS_PER_SEC: f64 = 100.0;
const DURATION_SECS: u64 = 10;

/// Submits each team's rate to a service with one queue and counts the admitted
/// tasks by team.
fn admitted(teams: &[(&str, u64, Entitlement)], busy: f64) -> Vec<usize> {
    let mut admission = Admission::new(Settings::default());
    let start = Instant::now();
    let mut counts = vec![0; teams.len()];
    let mut queued: f64 = 0.0;
    for ms in 0..DURATION_SECS * 1_000 {
        let now = start + Duration::from_millis(ms);
        queued = (queued - TASKS_PER_SEC / 1_000.0).max(0.0);
        for (i, (team, rate, entitlement)) in teams.iter().enumerate() {
            if !ms.is_multiple_of(1_000 / rate) {
                continue;
            }
            let team = Name::from(*team);
            let left = Duration::from_secs(5);
            let submission =
                Submission { team: &team, entitlement: *entitlement, tasks: 1, time_left: left };
            let load = load((queued / TASKS_PER_SEC * 1e3) as u64, busy);
            if admission.admit(&submission, load, 0.5, now).is_ok() {
                counts[i] += 1;
                queued += 1.0;
            }
        }
    }
    counts
}

macro_rules! shares {
    ($($name:ident: $teams:expr, $busy:expr => $check:expr;)*) => {
        $(#[test]
        fn $name() {
            let counts = admitted(&$teams, $busy);
            let check: fn(&[usize]) -> bool = $check;
            assert!(check(&counts), "{counts:?}");
        })*
    };
}

const HEAVY: Entitlement = Entitlement { weight: 3.0, quota: None };
const LIMITED: Entitlement = Entitlement { weight: 1.0, quota: Some(50.0) };

shares! {
    idle_service_lends: [("a", 50, LIMITED), ("b", 10, LIMITED)], 0.5 => |n| n == [500, 100];
    unused_shares_are_lent: [("a", 100, EVEN), ("b", 2, EVEN)], 0.9 => |n| n[0] > 950 && n[1] == 20;
    single_team_may_take_all: [("a", 500, EVEN)], 0.9 => |n| n[0] >= 1_000;
    a_greedy_team_leaves_others_their_share: [("a", 500, EVEN), ("b", 40, EVEN)], 1.0 => |n| n[1] > 380 && n[0] > 500;
    greedy_teams_get_equal_shares: [("a", 500, EVEN), ("b", 200, EVEN)], 1.0 => |n| n[1] > 400 && n[0] > 400;
    shares_follow_weights: [("a", 500, HEAVY), ("b", 500, EVEN)], 1.0 => |n| (n[1] * 2..n[1] * 4).contains(&n[0]);
    quota_limits_a_team: [("a", 500, LIMITED)], 0.9 => |n| (480..650).contains(&n[0]);
}

fn max_wait(left: Duration, run: Duration) -> Duration {
    let Settings { wait_share, long_wait, long_wait_share, .. } = Settings::default();
    let bound = left.mul_f64(long_wait_share).max(long_wait);
    left.saturating_sub(run).mul_f64(wait_share).min(bound)
}

#[test]
fn submission_that_cannot_end_in_time_is_refused_with_jitter() {
    fn run(wait_ms: u16, left_ms: u16, tasks: u16, jitter: u8) {
        let team = Name::from("a");
        let left = Duration::from_millis(left_ms.into());
        let submission =
            Submission { team: &team, entitlement: EVEN, tasks: tasks.into(), time_left: left };
        let load = load(wait_ms.into(), 0.9);
        let mut admission = Admission::new(Settings::default());
        let jitter = f64::from(jitter) / 255.0;
        let rounds = u32::from(tasks).div_ceil(80);
        let run = load.run * rounds;
        let fits = run <= left && load.wait <= max_wait(left, run);
        match admission.admit(&submission, load, jitter, Instant::now()) {
            Ok(()) => assert!(fits),
            Err(refusal) => {
                assert!(!fits && refusal.reason == RefusalReason::Backlog);
                let base = refusal.retry_after.div_f64(1.0 + jitter);
                assert!(base >= Settings::default().min_retry.mul_f64(0.99));
            }
        }
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 9)).quickcheck(run as fn(u16, u16, u16, u8));
}

#[test]
fn retries_are_limited_to_a_share_of_first_attempts() {
    fn run(tries: Vec<bool>) {
        let mut budget = RetryBudget::new(RetryBudgetSettings { retry_ratio: 0.1, max_saved: 5.0 });
        let (mut first, mut retries) = (0, 0);
        for is_first in tries {
            if is_first {
                budget.deposit();
                first += 1;
            } else {
                retries += u32::from(budget.withdraw());
            }
        }
        assert!(f64::from(retries) <= 5.0 + 0.1 * f64::from(first) + 1e-6);
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(300, 4)).quickcheck(run as fn(Vec<bool>));
}
