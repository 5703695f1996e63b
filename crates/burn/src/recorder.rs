use std::collections::BTreeMap;

use base::Name;

use crate::{Count, HOUR_MS, HourCounts, MINUTE_MS};

/// Hours kept in memory while the store can't be written.
const MAX_HOURS: usize = 24;

/// Counts of this process, kept until the store has them.
pub struct Recorder {
    started_ms: u64,
    /// by hour since 1970
    hours: BTreeMap<u64, Hour>,
}

/// What is to be written of one hour.
#[derive(Clone, Debug)]
pub struct PendingHour {
    /// since 1970
    pub hour: u64,
    pub counts: HourCounts,
    /// the last one; nothing is left after it
    pub last: bool,
    adds: u64,
}

#[derive(Default)]
struct Hour {
    counts: HourCounts,
    adds: u64,
    saved: Option<Saved>,
}

/// How much of an hour the store has.
#[derive(PartialEq)]
struct Saved {
    to_ms: u64,
    adds: u64,
}

impl Recorder {
    pub fn new(now_ms: u64) -> Self {
        let mut it = Self { started_ms: now_ms, hours: BTreeMap::new() };
        it.begin(now_ms / HOUR_MS);
        it
    }

    /// Counts one answer.
    pub fn add(&mut self, service: &Name, count: Count, now_ms: u64) {
        let hour = self.reach(now_ms / HOUR_MS);
        hour.adds += 1;
        let services = hour.counts.minutes.entry(now_ms / MINUTE_MS).or_default();
        *services.entry(service.clone()).or_default() += count;
    }

    /// The oldest hour that the store lacks, as it stands now.
    pub fn next_pending(&mut self, now_ms: u64) -> PendingHour {
        let present = now_ms / HOUR_MS;
        self.reach(present);
        let end = |hour: u64| if hour < present { (hour + 1) * HOUR_MS } else { now_ms };
        let lacks = |(hour, it): &(&u64, &Hour)| {
            **hour >= present || it.saved != Some(Saved { to_ms: end(**hour), adds: it.adds })
        };
        let hour = self.hours.iter().find(lacks).map_or(present, |(hour, _)| *hour);
        let kept = self.begin(hour);
        kept.counts.to_ms = end(hour);
        PendingHour { hour, counts: kept.counts.clone(), last: hour >= present, adds: kept.adds }
    }

    /// The store has a draft. An hour is kept while answers may still be added.
    pub fn mark_written(&mut self, draft: &PendingHour, now_ms: u64) {
        if let Some(hour) = self.hours.get_mut(&draft.hour) {
            hour.saved = Some(Saved { to_ms: draft.counts.to_ms, adds: draft.adds });
        }
        self.hours.retain(|hour, it| {
            let over_ms = (hour + 1) * HOUR_MS;
            let whole = Saved { to_ms: over_ms, adds: it.adds };
            now_ms < over_ms + MINUTE_MS || it.saved != Some(whole)
        });
    }

    /// The hour, and every one on the way to it: an hour without an answer was
    /// counted as well.
    fn reach(&mut self, present: u64) -> &mut Hour {
        let first = self.hours.keys().next_back().map_or(present, |last| last + 1);
        for hour in first..present {
            self.begin(hour);
        }
        self.begin(present);
        while self.hours.len() > MAX_HOURS {
            self.hours.pop_first();
        }
        self.begin(present)
    }

    fn begin(&mut self, hour: u64) -> &mut Hour {
        let from_ms = self.started_ms.max(hour * HOUR_MS);
        let chunk = HourCounts { from_ms, to_ms: from_ms, ..HourCounts::default() };
        self.hours.entry(hour).or_insert_with(|| Hour { counts: chunk, ..Hour::default() })
    }
}
