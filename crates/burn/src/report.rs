use std::collections::BTreeMap;

use base::Name;
use serde::Serialize;

use crate::{Count, Goal, HOUR_MS, HourCounts, MINUTE_MS, Objective, ProcessCounts};

/// Time within which a count must have reached the store.
const MAX_WRITE_LAG_MS: u64 = 2 * MINUTE_MS;
/// Period that a report covers: its longest window.
const REPORT_SPAN_MS: u64 = 6 * HOUR_MS;

/// A pair of windows that alerts when the burn rate is high in both.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowPair {
    pub short_ms: u64,
    pub long_ms: u64,
    /// burn rate from which the pair alerts
    pub threshold: f64,
    pub state: State,
}

/// The pairs of windows, the most urgent first.
pub const WINDOW_PAIRS: [WindowPair; 2] = [
    WindowPair { short_ms: 5 * MINUTE_MS, long_ms: HOUR_MS, threshold: 14.4, state: State::Fast },
    WindowPair {
        short_ms: 30 * MINUTE_MS,
        long_ms: 6 * HOUR_MS,
        threshold: 6.0,
        state: State::Slow,
    },
];

/// Alert level of an objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// the budget of a month would be gone in two days
    Fast,
    /// the budget of a month would be gone in five days
    Slow,
    Fine,
}

impl State {
    pub fn as_str(self) -> &'static str {
        match self {
            State::Fast => "fast",
            State::Slow => "slow",
            State::Fine => "fine",
        }
    }
}

/// Burn rates over each window; none where there were no answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Rates {
    pub minutes_5: Option<f64>,
    pub hours_1: Option<f64>,
    pub minutes_30: Option<f64>,
    pub hours_6: Option<f64>,
}

impl Rates {
    fn state(&self) -> State {
        let pairs = [(self.minutes_5, self.hours_1), (self.minutes_30, self.hours_6)];
        let is_burning = |window: &WindowPair, (short, long): (Option<f64>, Option<f64>)| {
            short.is_some_and(|r| r >= window.threshold)
                && long.is_some_and(|r| r >= window.threshold)
        };
        let found =
            WINDOW_PAIRS.iter().zip(pairs).find(|(window, rates)| is_burning(window, *rates));
        found.map_or(State::Fine, |(window, _)| window.state)
    }
}

/// One objective of one service.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub service: Name,
    pub goal: Goal,
    pub objective_ppm: u64,
    /// answers in the whole period of the report
    pub answers: u64,
    pub rates: Rates,
    pub state: State,
}

/// A period in which an entry's counts are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Gap {
    pub entry: Name,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Burn rates over all entries.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub from_ms: u64,
    pub to_ms: u64,
    pub rows: Vec<Row>,
    pub missing: Vec<Gap>,
    #[serde(skip)]
    pub objectives: BTreeMap<Name, Objective>,
    #[serde(skip)]
    pub minutes: BTreeMap<u64, BTreeMap<Name, Count>>,
}

impl Report {
    /// Merges the stored counts of the processes of all entries.
    pub fn new(
        processes: &[ProcessCounts],
        objectives: BTreeMap<Name, Objective>,
        now_ms: u64,
    ) -> Self {
        let from_ms = now_ms.saturating_sub(REPORT_SPAN_MS);
        let minutes = merge(processes, from_ms);
        let missing = gaps(processes, from_ms, now_ms.saturating_sub(MAX_WRITE_LAG_MS));
        let mut report =
            Self { from_ms, to_ms: now_ms, rows: Vec::new(), missing, objectives, minutes };
        report.rows = report.all_rows();
        report
    }

    /// Counts of a service between two times, to the minute.
    pub fn count(&self, service: &str, from_ms: u64, to_ms: u64) -> Count {
        let mut sum = Count::default();
        for (_, services) in self.minutes.range(from_ms / MINUTE_MS..=to_ms / MINUTE_MS) {
            sum += services.get(service).copied().unwrap_or_default();
        }
        sum
    }

    fn all_rows(&self) -> Vec<Row> {
        let goals = |(service, objective)| {
            Goal::ALL.into_iter().map(move |goal| self.row(service, objective, goal))
        };
        self.objectives.iter().flat_map(goals).collect()
    }

    fn row(&self, service: &Name, objective: &Objective, goal: Goal) -> Row {
        let rate = |window_ms| {
            let count = self.count(service, self.to_ms.saturating_sub(window_ms), self.to_ms);
            objective.rate(goal, count)
        };
        let [fast, slow] = WINDOW_PAIRS;
        let rates = Rates {
            minutes_5: rate(fast.short_ms),
            hours_1: rate(fast.long_ms),
            minutes_30: rate(slow.short_ms),
            hours_6: rate(slow.long_ms),
        };
        Row {
            service: service.clone(),
            goal,
            objective_ppm: objective.ppm(goal),
            answers: self.count(service, self.from_ms, self.to_ms).total,
            rates,
            state: rates.state(),
        }
    }
}

fn merge(processes: &[ProcessCounts], from_ms: u64) -> BTreeMap<u64, BTreeMap<Name, Count>> {
    let mut all: BTreeMap<u64, BTreeMap<Name, Count>> = BTreeMap::new();
    let hours = processes.iter().flat_map(|p| &p.hours);
    for (minute, services) in hours.flat_map(|c| &c.minutes) {
        if *minute < from_ms / MINUTE_MS {
            continue;
        }
        let merged = all.entry(*minute).or_default();
        for (service, count) in services {
            *merged.entry(service.clone()).or_default() += *count;
        }
    }
    all
}

/// Periods of each process that no stored counts cover.
fn gaps(processes: &[ProcessCounts], from_ms: u64, to_ms: u64) -> Vec<Gap> {
    let mut gaps = Vec::new();
    for process in processes {
        let later = processes.iter().filter(|p| p.entry == process.entry);
        let next = later.map(|p| p.started_ms).filter(|ms| *ms > process.started_ms).min();
        let end = next.unwrap_or(to_ms);
        let mut covered = process.started_ms.max(from_ms);
        for hour in &process.hours {
            push_gap(&mut gaps, &process.entry, covered, hour.from_ms.min(end));
            covered = covered.max(hour.to_ms);
        }
        if !process.hours.iter().any(|c: &HourCounts| c.ended) {
            push_gap(&mut gaps, &process.entry, covered, end);
        }
    }
    gaps
}

fn push_gap(gaps: &mut Vec<Gap>, entry: &Name, from_ms: u64, to_ms: u64) {
    if from_ms < to_ms {
        gaps.push(Gap { entry: entry.clone(), from_ms, to_ms });
    }
}
