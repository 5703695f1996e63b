use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    percentiles::Percentiles,
    sample::{Outcome, Sample},
    workload::Workload,
};

/// Results of the requests of one class or team, or of all.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Summary {
    pub sent: usize,
    /// number of requests by outcome
    pub ended: BTreeMap<String, usize>,
    /// done by the deadline
    pub good: usize,
    /// done or failed after the deadline
    pub late: usize,
    /// how long after its deadline the latest answer of any outcome came
    pub latest_ms: f64,
    /// answers that are done: from the intended send
    pub response_ms: Percentiles,
    /// response over the ideal on the backend server that ran it
    pub over_ideal: Percentiles,
    /// response over the ideal on the fastest backend server
    pub over_fastest: Percentiles,
    /// response minus the ideal on the backend server that ran it
    pub added_ms: Percentiles,
    /// refusals: from the intended send
    pub refusal_ms: Percentiles,
    /// refusals: proposed delay before a retry
    pub retry_ms: Percentiles,
}

impl Summary {
    pub fn new<'a>(workload: &Workload, samples: impl Iterator<Item = &'a Sample>) -> Self {
        let samples: Vec<&Sample> = samples.collect();
        let done = || samples.iter().filter(|s| s.ended == Outcome::Done && !s.cancelled);
        let refused = || samples.iter().filter(|s| s.ended == Outcome::NotRun && !s.cancelled);
        let (slots, delay) = (workload.slots(), workload.delay_ms);
        let answered = samples.iter().filter(|s| s.ended != Outcome::Silent);
        Self {
            sent: samples.len(),
            ended: count(&samples),
            good: samples.iter().filter(|s| s.is_good()).count(),
            late: samples.iter().filter(|s| s.is_late()).count(),
            latest_ms: answered.map(|s| s.response_ms - s.deadline_ms).fold(0.0, f64::max),
            response_ms: Percentiles::new(done().map(|s| s.response_ms)),
            over_ideal: Percentiles::new(done().map(|s| s.response_ms / s.ideal_ms(slots, delay))),
            over_fastest: Percentiles::new(
                done().map(|s| s.response_ms / s.fastest_ms(slots, delay, workload.top_speed())),
            ),
            added_ms: Percentiles::new(done().map(|s| s.response_ms - s.ideal_ms(slots, delay))),
            refusal_ms: Percentiles::new(refused().map(|s| s.response_ms)),
            retry_ms: Percentiles::new(refused().map(|s| s.retry_ms)),
        }
    }

    pub fn count(&self, ended: Outcome) -> usize {
        self.ended.get(ended.name()).copied().unwrap_or(0)
    }
}

fn count(samples: &[&Sample]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for sample in samples {
        *counts.entry(sample.ended.name().to_owned()).or_default() += 1;
    }
    counts
}
