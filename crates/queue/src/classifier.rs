use std::{collections::HashMap, time::Duration};

use base::Name;

use crate::Histogram;

/// Most operations told apart; further ones share one estimate.
const MAX_OPERATIONS: usize = 256;
/// Share of all work that short work is read from.
const SHORT_QUANTILE: f64 = 0.2;
/// Observations before the class of an operation is trusted.
const MIN_OBSERVED: f64 = 4.0;
/// Least share of short work for which slots are kept.
const MIN_SHORT_SHARE: f64 = 1.0 / 64.0;
/// Weight of the newest task in the share of short work.
const SHARE_WEIGHT: f64 = 1.0 / 128.0;

/// Whether work is short or long beside the rest of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    Short,
    Long,
}

/// Classes of operations by the run times observed, never the declared ones.
#[derive(Clone, Debug)]
pub struct Classifier {
    factor: f64,
    all: Histogram,
    operations: HashMap<Name, Operation>,
    threshold: Duration,
    short: Histogram,
    long: Histogram,
    short_share: f64,
}

#[derive(Clone, Debug, Default)]
struct Operation {
    seen: Histogram,
    median: Duration,
}

impl Classifier {
    /// An operation is long when its median is `factor` times short work.
    pub fn new(factor: f64) -> Self {
        Self {
            factor,
            all: Histogram::default(),
            operations: HashMap::new(),
            threshold: Duration::MAX,
            short: Histogram::default(),
            long: Histogram::default(),
            short_share: 1.0,
        }
    }

    pub fn observe(&mut self, operation: &Name, ran: Duration) {
        self.all.observe(ran);
        self.threshold = self.all.quantile(SHORT_QUANTILE).mul_f64(self.factor);
        if self.operations.len() < MAX_OPERATIONS || self.operations.contains_key(operation) {
            let known = self.operations.entry(operation.clone()).or_default();
            known.seen.observe(ran);
            known.median = known.seen.quantile(0.5);
        }
        let short = self.class(operation) == Class::Short;
        self.short_share += (f64::from(u8::from(short)) - self.short_share) * SHARE_WEIGHT;
        match short {
            true => self.short.observe(ran),
            false => self.long.observe(ran),
        }
    }

    pub fn class(&self, operation: &str) -> Class {
        match self.operations.get(operation) {
            Some(known)
                if known.seen.total_weight() >= MIN_OBSERVED && known.median >= self.threshold =>
            {
                Class::Long
            }
            _ => Class::Short,
        }
    }

    /// Run time from which a running task counts as long.
    pub fn threshold(&self) -> Duration {
        self.threshold
    }

    /// Whether enough short work is about to keep slots for it.
    pub fn has_short_work(&self) -> bool {
        self.short_share >= MIN_SHORT_SHARE
    }

    /// Run time to expect of an operation, zero when nothing is known.
    pub fn expected_run(&self, operation: &str) -> Duration {
        match self.operations.get(operation) {
            Some(known) => known.median,
            None => self.all.quantile(0.5),
        }
    }

    /// Mean run time of a class, of all work while the class is unseen.
    pub fn mean_run(&self, class: Class) -> Duration {
        let seen = match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        };
        if seen.is_empty() { self.all.mean() } else { seen.mean() }
    }

    /// Expected time left to a running task.
    pub fn remaining_time(&self, operation: &str, elapsed: Duration) -> Duration {
        let seen = self.operations.get(operation).map_or(&self.all, |known| &known.seen);
        seen.remaining_time(elapsed)
    }
}
