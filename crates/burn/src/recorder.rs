use std::collections::BTreeMap;

use base::Name;

use crate::{Count, HOUR_MS, HourCounts, MINUTE_MS};

/// Hours of counts kept in memory while the store can't be written.
const MAX_HOURS: usize = 24;

/// Counts of this process, kept until they are stored.
pub struct Recorder {
    started_ms: u64,
    /// by hour since 1970
    hours: BTreeMap<u64, Hour>,
}

/// Counts of one hour to be written to the store.
#[derive(Clone, Debug)]
pub struct PendingHour {
    /// since 1970
    pub hour: u64,
    pub counts: HourCounts,
    /// no later hour is left to write
    pub last: bool,
    answers: u64,
}

#[derive(Default)]
struct Hour {
    counts: HourCounts,
    answers: u64,
    saved: Option<SavedExtent>,
}

/// Extent of an hour's counts in the store.
#[derive(PartialEq)]
struct SavedExtent {
    to_ms: u64,
    answers: u64,
}

impl Recorder {
    pub fn new(now_ms: u64) -> Self {
        let mut recorder = Self { started_ms: now_ms, hours: BTreeMap::new() };
        recorder.hour_or_new(now_ms / HOUR_MS);
        recorder
    }

    /// Counts one answer.
    pub fn add(&mut self, service: &Name, count: Count, now_ms: u64) {
        let hour = self.extend_to(now_ms / HOUR_MS);
        hour.answers += 1;
        let services = hour.counts.minutes.entry(now_ms / MINUTE_MS).or_default();
        *services.entry(service.clone()).or_default() += count;
    }

    /// The oldest hour whose counts aren't fully stored, with its counts so far.
    pub fn next_pending(&mut self, now_ms: u64) -> PendingHour {
        let current = now_ms / HOUR_MS;
        self.extend_to(current);
        let end = |hour: u64| if hour < current { (hour + 1) * HOUR_MS } else { now_ms };
        let is_unsaved = |(hour, it): &(&u64, &Hour)| {
            **hour >= current
                || it.saved != Some(SavedExtent { to_ms: end(**hour), answers: it.answers })
        };
        let hour = self.hours.iter().find(is_unsaved).map_or(current, |(hour, _)| *hour);
        let pending = self.hour_or_new(hour);
        pending.counts.to_ms = end(hour);
        PendingHour {
            hour,
            counts: pending.counts.clone(),
            last: hour >= current,
            answers: pending.answers,
        }
    }

    /// Marks an hour as stored. An hour is kept while answers may still be added.
    pub fn mark_written(&mut self, pending: &PendingHour, now_ms: u64) {
        if let Some(hour) = self.hours.get_mut(&pending.hour) {
            hour.saved =
                Some(SavedExtent { to_ms: pending.counts.to_ms, answers: pending.answers });
        }
        self.hours.retain(|hour, it| {
            let end_ms = (hour + 1) * HOUR_MS;
            let complete = SavedExtent { to_ms: end_ms, answers: it.answers };
            now_ms < end_ms + MINUTE_MS || it.saved != Some(complete)
        });
    }

    /// Adds the hours up to this one and returns it. Hours without an answer are
    /// added too, since a missing hour would be reported as a gap.
    fn extend_to(&mut self, current: u64) -> &mut Hour {
        let first = self.hours.keys().next_back().map_or(current, |last| last + 1);
        for hour in first..current {
            self.hour_or_new(hour);
        }
        self.hour_or_new(current);
        while self.hours.len() > MAX_HOURS {
            self.hours.pop_first();
        }
        self.hour_or_new(current)
    }

    fn hour_or_new(&mut self, hour: u64) -> &mut Hour {
        let from_ms = self.started_ms.max(hour * HOUR_MS);
        let counts = HourCounts { from_ms, to_ms: from_ms, ..HourCounts::default() };
        self.hours.entry(hour).or_insert_with(|| Hour { counts, ..Hour::default() })
    }
}
