use std::time::Duration;

use base::Uptime;

/// Settings of the judgement of a backend server by what it does.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// bad ends and refusals that make it suspect
    pub failure_threshold: u32,
    /// time until a suspect one is tried again
    pub probe_delay: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self { failure_threshold: 3, probe_delay: Duration::from_millis(1000) }
    }
}

/// Whether a backend server is to be trusted with more than a probe.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// bad ends in a row, halved by each good one
    bad: u32,
    suspect: bool,
    probe_at: Uptime,
}

impl Health {
    pub fn good(&mut self) {
        self.bad /= 2;
        self.suspect = false;
    }

    pub fn bad(&mut self, settings: &HealthSettings, now: Uptime) {
        self.bad = (self.bad + 1).min(2 * settings.failure_threshold);
        if self.bad >= settings.failure_threshold {
            self.suspect = true;
            self.probe_at = now + settings.probe_delay;
        }
    }

    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Whether a suspect backend server may get one task.
    pub fn may_probe(&self, now: Uptime) -> bool {
        !self.suspect || self.probe_at <= now
    }
}
