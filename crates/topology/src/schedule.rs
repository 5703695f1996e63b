use std::time::Duration;

/// Entries met at once, as a multiple of those that an agent counts on, so that
/// entries have enough agents from the start.
const FIRST: usize = 2;

/// Settings of the visits to entries that an agent is not in touch with.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSettings {
    /// entries that an agent counts on, whether they need it or not, so that
    /// the work of several reaches it and the loss of some doesn't leave it idle
    pub pinned: usize,
    /// between two visits, whichever entries they go to: one visit is about
    /// 1 kB, and an agent has 2 kB/s for control
    pub interval: Duration,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        Self { pinned: 8, interval: Duration::from_millis(500) }
    }
}

/// When an agent sees the entries that don't need it.
#[derive(Clone, Copy, Debug, Default)]
pub struct VisitSchedule {
    settings: ScheduleSettings,
}

impl VisitSchedule {
    pub fn new(settings: ScheduleSettings) -> Self {
        Self { settings }
    }

    /// Whether an agent counts on the entry at a position of its order, among
    /// those that it can reach.
    pub fn is_pinned(&self, position: usize) -> bool {
        position < self.settings.pinned
    }

    /// Wait before the first visit to the entry at a position of the agent's
    /// order.
    pub fn first_delay(&self, position: usize) -> Duration {
        let first = self.settings.pinned.saturating_mul(FIRST);
        let later = (position + 1).saturating_sub(first);
        self.settings.interval.saturating_mul(later.try_into().unwrap_or(u32::MAX))
    }

    /// Wait between two visits to one of so many entries.
    pub fn revisit_interval(&self, entries: usize) -> Duration {
        self.settings.interval.saturating_mul(entries.max(1).try_into().unwrap_or(u32::MAX))
    }
}
