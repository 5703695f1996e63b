use std::time::{Duration, Instant};

use base::now_ms;
use claim::{Limits, Now};
use conf::AgentSettings;

/// Longest deadline of a call, plus an allowance for slow links.
pub const MAX_CALL_TIME: Duration = Duration::from_secs(660);

/// Monotonic and wall clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    pub fn new() -> Self {
        Self { started: Instant::now() }
    }

    pub fn now(&self) -> Now {
        Now { uptime: self.started.elapsed(), wall_ms: now_ms() }
    }
}

/// Limits of claims and records, from the settings.
pub fn limits(settings: &AgentSettings) -> Limits {
    Limits {
        retention: Duration::from_millis(settings.retention_ms),
        max_call_time: MAX_CALL_TIME,
        clock_skew: Duration::from_millis(settings.skew_ms),
        max_entries: settings.records,
        max_bytes: settings.record_bytes,
    }
}
