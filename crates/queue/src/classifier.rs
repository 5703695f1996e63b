use std::{collections::HashMap, time::Duration};

use base::Name;

use crate::Histogram;

/// Further operations share one estimate.
const MAX_OPERATIONS: usize = 256;
/// Quantile of all run times that counts as the run time of short work.
const SHORT_QUANTILE: f64 = 0.2;
/// Observations, by their decayed weight, before an operation can be long.
const MIN_OBSERVATIONS: f64 = 4.0;
/// Smallest share of short work for which slots are reserved.
const MIN_SHORT_SHARE: f64 = 1.0 / 64.0;
/// Weight of the newest task in the moving average of the share of short work.
const SHARE_WEIGHT: f64 = 1.0 / 128.0;

/// Class of a task by its run time relative to the other work of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    Short,
    Long,
}

/// Classifies operations by their observed run times; declared ones are ignored.
#[derive(Clone, Debug)]
pub struct Classifier {
    factor: f64,
    all_runs: Histogram,
    operations: HashMap<Name, Operation>,
    long_threshold: Duration,
    short_runs: Histogram,
    long_runs: Histogram,
    short_share: f64,
}

#[derive(Clone, Debug, Default)]
struct Operation {
    runs: Histogram,
    median: Duration,
}

impl Classifier {
    /// An operation is long if its median run time is at least `factor` times
    /// that of short work.
    pub fn new(factor: f64) -> Self {
        Self {
            factor,
            all_runs: Histogram::default(),
            operations: HashMap::new(),
            long_threshold: Duration::MAX,
            short_runs: Histogram::default(),
            long_runs: Histogram::default(),
            short_share: 1.0,
        }
    }

    pub fn observe(&mut self, operation: &Name, ran: Duration) {
        self.all_runs.observe(ran);
        self.long_threshold = self.all_runs.quantile(SHORT_QUANTILE).mul_f64(self.factor);
        if self.operations.len() < MAX_OPERATIONS || self.operations.contains_key(operation) {
            let known = self.operations.entry(operation.clone()).or_default();
            known.runs.observe(ran);
            known.median = known.runs.quantile(0.5);
        }
        let short = self.class(operation) == Class::Short;
        self.short_share += (f64::from(u8::from(short)) - self.short_share) * SHARE_WEIGHT;
        match short {
            true => self.short_runs.observe(ran),
            false => self.long_runs.observe(ran),
        }
    }

    pub fn class(&self, operation: &str) -> Class {
        match self.operations.get(operation) {
            Some(known)
                if known.runs.total_weight() >= MIN_OBSERVATIONS
                    && known.median >= self.long_threshold =>
            {
                Class::Long
            }
            _ => Class::Short,
        }
    }

    /// Run time above which a running task counts as long.
    pub fn long_threshold(&self) -> Duration {
        self.long_threshold
    }

    /// Whether there is enough short work to reserve slots for it.
    pub fn has_short_work(&self) -> bool {
        self.short_share >= MIN_SHORT_SHARE
    }

    /// Expected run time of an operation, zero if nothing was observed.
    pub fn expected_run(&self, operation: &str) -> Duration {
        match self.operations.get(operation) {
            Some(known) => known.median,
            None => self.all_runs.quantile(0.5),
        }
    }

    /// Mean run time of a class, or of all work until the class was observed.
    pub fn mean_run(&self, class: Class) -> Duration {
        let runs = match class {
            Class::Short => &self.short_runs,
            Class::Long => &self.long_runs,
        };
        if runs.is_empty() { self.all_runs.mean() } else { runs.mean() }
    }

    /// Expected remaining run time of a task that has run for `elapsed`.
    pub fn remaining_time(&self, operation: &str, elapsed: Duration) -> Duration {
        let runs = self.operations.get(operation).map_or(&self.all_runs, |known| &known.runs);
        runs.remaining_time(elapsed)
    }
}
