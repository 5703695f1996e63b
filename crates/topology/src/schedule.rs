use std::time::Duration;

/// Entries visited at once, as a multiple of the pinned ones, so that entries
/// have enough agents from the start.
const INITIAL_FACTOR: usize = 2;

/// Settings of the visits to entries that an agent is not connected to.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSettings {
    /// entries that an agent stays connected to whether they need it or not, so
    /// that it gets work of several and the loss of some doesn't leave it idle
    pub pinned: usize,
    /// time between two visits, to whichever entries: a visit takes about 1 kB,
    /// and the control traffic of an agent is limited to 2 kB/s
    pub interval: Duration,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        Self { pinned: 8, interval: Duration::from_secs(1) }
    }
}

/// Schedule of an agent's visits to entries that don't need it.
#[derive(Clone, Copy, Debug, Default)]
pub struct VisitSchedule {
    settings: ScheduleSettings,
}

impl VisitSchedule {
    pub fn new(settings: ScheduleSettings) -> Self {
        Self { settings }
    }

    /// Whether the entry at a position in the agent's order of reachable entries
    /// is pinned.
    pub fn is_pinned(&self, position: usize) -> bool {
        position < self.settings.pinned
    }

    /// Delay of the first visit to the entry at a position in the agent's order.
    pub fn first_delay(&self, position: usize) -> Duration {
        let initial = self.settings.pinned.saturating_mul(INITIAL_FACTOR);
        let later = (position + 1).saturating_sub(initial);
        self.settings.interval.saturating_mul(later.try_into().unwrap_or(u32::MAX))
    }

    /// Time between two visits to the same one of so many entries.
    pub fn revisit_interval(&self, entries: usize) -> Duration {
        self.settings.interval.saturating_mul(entries.max(1).try_into().unwrap_or(u32::MAX))
    }
}
