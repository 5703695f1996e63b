use std::process::Command;

use standin::load::{Burst, Class, Outcome, Report, Sample, Swing, Team, Workload, plan};

macro_rules! case {
    ($name:ident, $check:expr) => {
        #[test]
        fn $name() {
            $check
        }
    };
}

case!(same_seed_same_plan, check_plans(7, 7, true));
case!(other_seed_other_plan, check_plans(7, 8, false));
case!(rate_follows_the_swing, check_swing(4.0));
case!(stall_counts_in_response, check_over_ideal(1000.0, 50.0, 20.0));
case!(idle_response_is_near_ideal, check_over_ideal(51.0, 50.0, 1.02));
case!(good_means_done_in_time, check_good(Outcome::Done, 900.0, 1));
case!(done_too_late_is_not_good, check_good(Outcome::Done, 1100.0, 0));
case!(refusal_is_not_good, check_good(Outcome::NotRun, 5.0, 0));
case!(cut_answer_is_not_good, check_good(Outcome::Cut, 5.0, 0));
case!(private_address_is_refused, check_refused("10.0.0.1:7100"));
case!(public_address_is_refused, check_refused("192.0.2.1:7100"));
case!(wildcard_address_is_refused, check_refused("0.0.0.0:7100"));
case!(burst_adds_arrivals, check_burst(500));
case!(boost_keeps_rate_of_others, check_boost(10.0));

fn check_plans(a: u64, b: u64, same: bool) {
    let of = |seed| plan(&Workload { seed, ..Workload::default() });
    assert_eq!(of(a) == of(b), same);
}

fn check_swing(factor: f64) {
    let swing = Swing { at_s: 10.0, rise_s: 1.0, hold_s: 10.0, factor };
    let workload =
        Workload { seconds: 40.0, rate: Some(200.0), swings: vec![swing], ..Workload::default() };
    let arrivals = plan(&workload);
    let within = |from: f64, to: f64| {
        let at = arrivals.iter().map(|a| a.at.as_secs_f64());
        at.filter(|at| (from..to).contains(at)).count() as f64 / (to - from)
    };
    let ratio = within(11.0, 21.0) / within(0.0, 10.0);
    assert!((ratio / factor - 1.0).abs() < 0.15, "{ratio}");
    assert!((within(23.0, 40.0) / 200.0 - 1.0).abs() < 0.15);
}

fn check_over_ideal(response_ms: f64, ran_ms: f64, over: f64) {
    let report = report(Sample { response_ms, ran_ms, ..sample() });
    assert!((report.all.over_ideal.p99 / over - 1.0).abs() < 0.01, "{:?}", report.all.over_ideal);
}

fn check_good(ended: Outcome, response_ms: f64, good: usize) {
    let report = report(Sample { ended, response_ms, ..sample() });
    assert_eq!(report.all.good, good);
    let late = usize::from(ended == Outcome::Done && good == 0);
    assert_eq!(report.all.late, late);
}

/// The tool exits before it plans or sends anything.
fn check_refused(entry: &str) {
    let workload = concat!(env!("CARGO_MANIFEST_DIR"), "/../../measures/idle.json");
    let tool = Command::new(env!("CARGO_BIN_EXE_standin-load"))
        .args(["run", "--entry", entry, workload])
        .output()
        .unwrap();
    assert!(!tool.status.success());
    assert!(String::from_utf8_lossy(&tool.stderr).contains("not on loopback"));
}

fn check_burst(count: usize) {
    let burst = Burst { class: "balance".to_owned(), at_s: 4.0, over_s: 1.0, count };
    let plain = Workload::default();
    let with = Workload { bursts: vec![burst], ..plain.clone() };
    assert_eq!(plan(&with).len(), plan(&plain).len() + count);
}

fn check_boost(factor: f64) {
    let team = |name: &str| Team { name: name.to_owned(), share: 1.0 };
    let plain = Workload { teams: vec![team("coop"), team("mill")], ..Workload::default() };
    let mut boosted = plain.clone();
    boosted.boost_team("coop", factor);
    let rate = plain.base_rate() / 2.0;
    assert!((boosted.base_rate() / (rate + rate * factor) - 1.0).abs() < 1e-9);
}

fn report(sample: Sample) -> Report {
    let workload = Workload { classes: vec![Class::default()], ..Workload::default() };
    Report::new("test".to_owned(), workload, &[sample])
}

fn sample() -> Sample {
    Sample {
        class: 0,
        team: 0,
        at: 1.0,
        lag_ms: 0.0,
        response_ms: 60.0,
        deadline_ms: 1000.0,
        ended: Outcome::Done,
        cancelled: false,
        ran_ms: 50.0,
        work_ms: 50.0,
        asked_ms: 50.0,
        asked_work_ms: 50.0,
        retry_ms: 0.0,
    }
}
