use serde::{Deserialize, Serialize};

use super::{percentiles::Percentiles, sample::Sample, workload::Workload};

pub const BUCKET_S: f64 = 0.5;

/// Rates and shares in one interval of the run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Bucket {
    /// start, seconds from the start of the run
    pub at: f64,
    /// sends a second
    pub offered: f64,
    /// answers within their deadline a second, by the time of the answer
    pub good: f64,
    /// run time at speed 1 of those answers, over what the backend servers can do
    pub useful: f64,
    /// refusals (`not-run`) a second, by the time of the answer
    pub refused: f64,
    /// other answers a second, by the time of the answer
    pub other: f64,
    /// response over ideal of good answers sent in this bucket
    pub over_p99: f64,
    /// share of the requests sent in this bucket that were not good
    pub missed: f64,
}

/// Splits a run into buckets.
pub fn timeline(workload: &Workload, samples: &[Sample]) -> Vec<Bucket> {
    let end = samples.iter().map(|s| s.at + s.response_ms / 1e3).fold(workload.seconds, f64::max);
    let count = (end / BUCKET_S) as usize + 1;
    let mut buckets: Vec<Bucket> =
        (0..count).map(|i| Bucket { at: i as f64 * BUCKET_S, ..Bucket::default() }).collect();
    let mut over = vec![Vec::new(); count];
    let mut sent = vec![0usize; count];
    for s in samples {
        let from = index(s.at, count);
        let until = index(s.at + s.response_ms / 1e3, count);
        sent[from] += 1;
        buckets[from].offered += 1.0 / BUCKET_S;
        if s.is_good() {
            buckets[until].good += 1.0 / BUCKET_S;
            over[from].push(s.response_ms / s.ideal_ms(workload.slots(), workload.delay_ms));
            spread(workload, s, &mut buckets);
        } else if s.ended == super::sample::Outcome::NotRun {
            buckets[until].refused += 1.0 / BUCKET_S;
        } else {
            buckets[until].other += 1.0 / BUCKET_S;
        }
    }
    for ((bucket, over), sent) in buckets.iter_mut().zip(over).zip(sent) {
        bucket.missed = 1.0 - over.len() as f64 / sent.max(1) as f64;
        if sent == 0 {
            bucket.missed = 0.0;
        }
        bucket.over_p99 = Percentiles::new(over).p99;
    }
    buckets
}

/// Distributes the run time of a good answer over the buckets in which it ran.
fn spread(workload: &Workload, s: &Sample, buckets: &mut [Bucket]) {
    let capacity = workload.capacity_ms() * BUCKET_S;
    let end = s.at + (s.response_ms - workload.delay_ms) / 1e3;
    let start = end - s.ran_ms / 1e3;
    let (first, last) = (index(start, buckets.len()), index(end, buckets.len()));
    for bucket in &mut buckets[first..=last] {
        let inside = (end.min(bucket.at + BUCKET_S) - start.max(bucket.at)).max(0.0);
        let share = if end > start { inside / (end - start) } else { 1.0 };
        bucket.useful += s.asked_work_ms * share / capacity;
    }
}

fn index(at: f64, count: usize) -> usize {
    ((at.max(0.0) / BUCKET_S) as usize).min(count - 1)
}
