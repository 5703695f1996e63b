use std::time::Duration;

use base::Uptime;

/// When a backend server becomes suspect and is tried again.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// failures and refusals that make it suspect
    pub failure_threshold: u32,
    /// time until a suspect one gets a probe
    pub probe_delay: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self { failure_threshold: 3, probe_delay: Duration::from_millis(1000) }
    }
}

/// Health of a backend server by the outcomes of its runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// failures, halved by each success
    failures: u32,
    suspect: bool,
    probe_at: Uptime,
}

impl Health {
    pub fn record_success(&mut self) {
        self.failures /= 2;
        self.suspect = false;
    }

    pub fn record_failure(&mut self, settings: &HealthSettings, now: Uptime) {
        self.failures = (self.failures + 1).min(2 * settings.failure_threshold);
        if self.failures >= settings.failure_threshold {
            self.suspect = true;
            self.probe_at = now + settings.probe_delay;
        }
    }

    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Whether a backend server that is suspect may get one task.
    pub fn may_probe(&self, now: Uptime) -> bool {
        !self.suspect || self.probe_at <= now
    }
}
