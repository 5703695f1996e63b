//! Burn rates, merging of entries, and periods with missing counts.

use std::{collections::BTreeMap, time::Duration};

use base::{Name, Outcome};
use burn::{
    Count, Goal, HOUR_MS, HourCounts, MINUTE_MS, Objective, PendingHour, ProcessCounts, Recorder,
    Report, State, html_page,
};
use quickcheck::{Gen, QuickCheck};

const NOW: u64 = 1000 * HOUR_MS + 30 * MINUTE_MS;
const OBJECTIVE: Objective = Objective { timely_ppm: 990_000, honest_ppm: 999_000 };

fn objectives() -> BTreeMap<Name, Objective> {
    BTreeMap::from([("ledger".into(), OBJECTIVE)])
}

/// The stored counts of a process that ran from `ago` to `until` minutes before
/// now, with answers counted at the given minutes before now.
fn process_counts(
    entry: &str,
    ago: u64,
    until: u64,
    minutes: &[(u64, Count)],
    ended: bool,
) -> ProcessCounts {
    let (started_ms, end) = (NOW - ago * MINUTE_MS, NOW - until * MINUTE_MS);
    let mut recorder = Recorder::new(started_ms);
    for (ago, count) in minutes {
        recorder.add(&"ledger".into(), *count, NOW - ago * MINUTE_MS);
    }
    let mut hours = Vec::new();
    flush(&mut recorder, end, |pending| {
        hours.push(HourCounts { ended: ended && pending.last, ..pending.counts });
    });
    ProcessCounts { entry: entry.into(), started_ms, hours }
}

/// Writes all pending hours, as at the end of a process.
fn flush(recorder: &mut Recorder, now_ms: u64, mut store: impl FnMut(PendingHour)) {
    loop {
        let pending = recorder.next_pending(now_ms);
        recorder.mark_written(&pending, now_ms);
        let last = pending.last;
        store(pending);
        if last {
            return;
        }
    }
}

fn count(total: u64, timely: u64, honest: u64) -> Count {
    Count { total, timely, honest }
}

macro_rules! missing {
    ($($name:ident: [$($process:expr),*] => [$(($entry:literal, $from:literal, $to:literal)),*])*) => {
        $(#[test]
        fn $name() {
            let report = Report::new(&[$($process),*], objectives(), NOW);
            let ago = |ms: u64| (NOW - ms) / MINUTE_MS;
            let found: Vec<_> =
                report.missing.iter().map(|g| (&*g.entry, ago(g.from_ms), ago(g.to_ms))).collect();
            assert_eq!(found, [$(($entry, $from, $to)),*] as [(&str, u64, u64); 0 $(+ missing!(@one $entry))*]);
        })*
    };
    (@one $entry:literal) => { 1 };
}

missing! {
    nothing_of_a_running_process: [process_counts("a", 90, 1, &[], false)] => []
    nothing_after_a_graceful_shutdown: [process_counts("a", 90, 40, &[], true)] => []
    tail_of_a_lost_process_until_its_successor:
        [process_counts("a", 90, 40, &[], false), process_counts("a", 35, 0, &[], false)] => [("a", 40, 35)]
    tail_of_a_lost_process_with_a_new_successor:
        [process_counts("a", 90, 1, &[], false), process_counts("a", 0, 0, &[], false)] => [("a", 1, 0)]
    tail_of_a_lost_process_without_successor: [process_counts("b", 90, 40, &[], false)] => [("b", 40, 2)]
    everything_of_a_process_that_never_wrote:
        [ProcessCounts { entry: "c".into(), started_ms: NOW - 10 * MINUTE_MS, hours: Vec::new() }]
        => [("c", 10, 2)]
    hour_missing_between_two_others: [{
        let mut counts = process_counts("a", 180, 0, &[], false);
        counts.hours.remove(1);
        counts
    }] => [("a", 150, 90)]
}

#[test]
fn entries_are_merged() {
    let bad = count(100, 50, 100);
    let good = count(100, 100, 100);
    let report = Report::new(
        &[
            process_counts("a", 60, 0, &[(3, bad)], false),
            process_counts("b", 60, 0, &[(3, good)], false),
        ],
        objectives(),
        NOW,
    );
    let timely = &report.rows[0];
    assert_eq!((timely.goal, timely.answers), (Goal::Timely, 200));
    // a quarter is bad, and one in a hundred may be
    assert!((timely.rates.minutes_5.expect("there are answers") - 25.0).abs() < 1e-9);
    assert_eq!(report.rows[1].rates.minutes_5, Some(0.0));
}

#[test]
fn both_windows_must_exceed_the_threshold() {
    let good: Vec<_> = (6..60).map(|ago| (ago, count(1000, 1000, 1000))).collect();
    let short = [vec![(2, count(1000, 0, 1000))], good].concat();
    let state = |minutes: &[(u64, Count)]| {
        Report::new(&[process_counts("a", 120, 0, minutes, false)], objectives(), NOW).rows[0].state
    };
    assert_eq!(state(&short), State::Fine);
    let long: Vec<_> = (0..60).map(|ago| (ago, count(1000, 0, 1000))).collect();
    assert_eq!(state(&long), State::Fast);
    let slow: Vec<_> = (0..110).map(|ago| (ago, count(1000, 920, 1000))).collect();
    assert_eq!(state(&slow), State::Slow);
}

#[test]
fn refusals_and_late_answers_are_not_timely() {
    let time_left = Some(Duration::from_millis(1));
    assert_eq!(Count::of(Outcome::Done, time_left), count(1, 1, 1));
    assert_eq!(Count::of(Outcome::Failed, time_left), count(1, 1, 1));
    assert_eq!(Count::of(Outcome::Done, None), count(1, 0, 1));
    assert_eq!(Count::of(Outcome::NotRun, time_left), count(1, 0, 1));
    assert_eq!(Count::of(Outcome::Unknown, time_left), count(1, 0, 0));
}

#[test]
fn page_lists_every_service_and_gap() {
    let lost = process_counts("entry<1>", 90, 40, &[(50, count(10, 5, 10))], false);
    let html = html_page(&Report::new(&[lost], objectives(), NOW)).expect("page is drawn");
    for part in ["<svg", "ledger", "entry&lt;1&gt;", "honest"] {
        assert!(html.contains(part), "{part} is missing");
    }
}

#[test]
fn every_counted_answer_reaches_the_store() {
    fn all_arrive(steps: Vec<(u8, bool)>) -> bool {
        let mut now = 7 * HOUR_MS;
        let mut recorder = Recorder::new(now);
        let mut store = BTreeMap::new();
        let mut added = 0;
        for (minutes, store_available) in &steps {
            now += u64::from(minutes % 60) * MINUTE_MS;
            recorder.add(&"s".into(), count(1, 1, 1), now);
            added += 1;
            if *store_available {
                let pending = recorder.next_pending(now);
                // an answer while the write is in progress
                recorder.add(&"s".into(), count(1, 1, 1), now);
                added += 1;
                recorder.mark_written(&pending, now);
                store.insert(pending.hour, pending.counts);
            }
        }
        flush(&mut recorder, now, |pending| drop(store.insert(pending.hour, pending.counts)));
        let kept: u64 = store
            .values()
            .flat_map(|c: &HourCounts| c.minutes.values())
            .flat_map(|services| services.values())
            .map(|c| c.total)
            .sum();
        kept == added
    }
    // at most 24 hours without the store: the recorder keeps no more
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 7))
        .quickcheck(all_arrive as fn(Vec<(u8, bool)>) -> bool);
}
