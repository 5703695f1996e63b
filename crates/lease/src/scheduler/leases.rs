//! How long the backend server may run tasks without word of its agent, and when runs have
//! certainly ended. It answers backend servers that are silent, and agents that were suspended
//! or replaced.
//!
//! A backend server has one lease for all that it runs, and an entry that lost contact with
//! an agent places its tasks elsewhere once the last lease that may have been given for them has
//! expired. So nobody may renew it for these runs afterwards:
//!
//! - A process gives leases only while the backend server runs nothing that an earlier process
//!   ordered. Once a listing shows that, it stays so for this life of the backend server: the
//!   call that returned the listing carried a fencing token, which voids the orders of before.
//! - While runs of an entry whose session has expired may go on, no lease ends later than one
//!   given at the end of that session, whatever other entries run here.

use std::time::Duration;

use base::{Event, Uptime};

use crate::{Delivery, Ending, LeaseTimings, RunKey, run::State};

use super::{CentreState, Scheduler};

/// Time for the backend server to stop runs whose lease has expired.
const EXPIRY_MARGIN: Duration = Duration::from_millis(60);

impl Scheduler {
    /// Renews the lease of the backend server; gives its end, or `None` if it has to
    /// expire: no session is live, there may be orphan runs, or runs of a lost entry
    /// aren't known to have stopped.
    pub fn renew_lease(&mut self, now: Uptime) -> Option<Uptime> {
        self.expire_sessions(now);
        if self.may_have_orphans() {
            return None;
        }
        let last_seen = self.sessions.values().map(|s| s.last_seen).max()?;
        self.extend_lease(last_seen, now)
    }

    /// Renews the lease for a run about to be ordered; `None` when it must no
    /// longer start.
    pub fn lease_for_start(&mut self, key: RunKey, now: Uptime) -> Option<Uptime> {
        self.expire_sessions(now);
        // each may have begun between the order and its sending
        if self.centre == CentreState::Drained || self.is_doubtful || self.may_have_orphans() {
            return None;
        }
        let run = self.runs.get(key).filter(|r| r.state == State::Starting)?;
        let last_seen = self.sessions.get(&self.session_of(run)?)?.last_seen;
        self.extend_lease(last_seen, now)
    }

    /// Handles the outcome of the call with a lease that ends at `end`. Until then, the
    /// lease counts as given.
    pub fn settle_lease(&mut self, end: Uptime, delivery: Delivery) {
        let Some(index) = self.pending_leases.iter().position(|e| *e == end) else { return };
        self.pending_leases.swap_remove(index);
        if delivery == Delivery::Possible {
            self.leased_until = self.leased_until.max(end);
        }
    }

    /// Extends the lease for entries last seen at `last_seen`; gives its end, or `None`
    /// if it must not be extended any more.
    fn extend_lease(&mut self, last_seen: Uptime, now: Uptime) -> Option<Uptime> {
        let LeaseTimings { session_ttl, lease_ttl, .. } = self.settings.timings;
        let lost = self.lost_session_end();
        let is_capped = lost.is_some_and(|end| end + lease_ttl <= now);
        if is_capped && !self.is_capped {
            let runs = self.runs.values().filter(|r| r.session_end.is_some()).count();
            Event::LeaseCapped.note(&[("runs", (runs as u64).into())]);
        }
        self.is_capped = is_capped;
        if is_capped {
            return None;
        }
        let latest = lost.map_or(Uptime::MAX, |end| end + lease_ttl);
        let lease_end = (last_seen + session_ttl).min(now + lease_ttl).min(latest);
        // those without an outcome by their end count as given
        let ended = self.pending_leases.extract_if(.., |end| *end < now);
        self.leased_until = ended.fold(self.leased_until, Uptime::max);
        self.pending_leases.push(lease_end);
        Some(lease_end)
    }

    /// The first end of a session whose runs may go on although it has expired.
    fn lost_session_end(&self) -> Option<Uptime> {
        self.runs.values().filter_map(|r| r.session_end).min()
    }

    /// Ends all active runs once the lease has expired, whether the backend server
    /// answers or not.
    pub(super) fn expire_leases(&mut self, now: Uptime) {
        if now <= self.lease_expiry() || !self.is_busy() {
            return;
        }
        let active: Vec<RunKey> = self.active_runs().collect();
        Event::LeasesExpired
            .note(&[("runs", (active.len() as u64).into()), ("gone", self.is_gone.into())]);
        let reason = if self.is_gone && !self.life.is_leaving() {
            self.record_crash(&active, now);
            "backend server crashed"
        } else {
            "lease of the backend server lapsed"
        };
        for key in active {
            self.end_run(key, Ending::Lost, reason, now);
        }
    }

    pub(super) fn lease_expiry(&self) -> Uptime {
        let ttl = self.settings.timings.lease_ttl;
        let leased_until = self.pending_leases.iter().copied().fold(self.leased_until, Uptime::max);
        leased_until + LeaseTimings::worst_case_expiry(ttl).saturating_sub(ttl) + EXPIRY_MARGIN
    }
}
