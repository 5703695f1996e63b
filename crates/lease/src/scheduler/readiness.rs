//! Whether new tasks may start here. It answers backend servers that fail, refuse or don't
//! answer.

use base::{Event, Uptime};

use super::{CENTRE_DRAINED, CentreState, MAX_FAILED_LISTINGS, Scheduler};

impl Scheduler {
    /// Whether new tasks are accepted.
    pub fn is_ready(&self, now: Uptime) -> bool {
        self.unready_reason().is_none() && self.is_trusted(now)
    }

    /// Whether the backend server runs, or may run, what this process didn't order. Until
    /// a listing shows that it doesn't, no lease is given and nothing starts.
    pub fn may_have_orphans(&self) -> bool {
        self.life.may_have_orphans()
    }

    /// Whether the backend server has announced that it drains.
    pub fn is_draining(&self) -> bool {
        self.life.announced.as_ref().is_some_and(|a| a.draining)
    }

    pub(super) fn record_success(&mut self) {
        if self.health.is_suspect() {
            Event::BackendTrusted.note(&[]);
        }
        self.health.record_success();
    }

    pub(super) fn record_failure(&mut self, now: Uptime) {
        let was_suspect = self.health.is_suspect();
        self.health.record_failure(&self.settings.health, now);
        if !was_suspect && self.health.is_suspect() {
            Event::BackendSuspect.note(&[("running", (self.active_runs().count() as u64).into())]);
            self.return_queued("backend server is suspect", now);
        }
    }

    /// Why nothing new may start; `None` when it may.
    pub(super) fn unready_reason(&self) -> Option<&'static str> {
        let Some(announced) = &self.life.announced else {
            return Some("backend server has not announced itself");
        };
        if announced.draining {
            return Some("backend server leaves");
        }
        if self.is_stopping {
            return Some("agent stops");
        }
        if self.centre == CentreState::Drained {
            return Some(CENTRE_DRAINED);
        }
        if self.failed_listings >= MAX_FAILED_LISTINGS {
            return Some("backend server is silent");
        }
        if self.life.may_have_orphans() {
            return Some("runs of an earlier process go on");
        }
        None
    }

    /// Whether the backend server may get a task; a suspect one gets one probe
    /// at a time.
    pub(super) fn is_trusted(&self, now: Uptime) -> bool {
        !self.health.is_suspect() || (self.health.may_probe(now) && self.runs.is_empty())
    }
}
