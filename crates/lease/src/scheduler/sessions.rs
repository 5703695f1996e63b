//! Which entries are alive: their sessions, and what ends with a session that expires. It
//! answers the loss, suspension and restart of entries.

use base::{Event, Name, Uptime, invariant};

use crate::{
    RunKey, SessionId,
    run::{Run, StopReason},
    session::Session,
};

use super::{Scheduler, millis};

impl Scheduler {
    /// Opens or extends the session of an entry that was alive at `at`.
    pub fn extend_session(&mut self, id: SessionId, name: &Name, at: Uptime, now: Uptime) {
        // expire first: a session that expired while this agent was suspended
        // must not be extended
        self.expire_sessions(now);
        if at + self.settings.timings.session_ttl < now {
            return;
        }
        let session = self.sessions.entry(id).or_insert_with(|| {
            Event::SessionOpened.note(&[("entry", (&**name).into()), ("session", id.0.into())]);
            Session { name: name.clone(), centre: Name::default(), last_seen: at }
        });
        session.last_seen = session.last_seen.max(at);
    }

    /// Sets the data centre of an entry, if it has a session.
    pub fn set_centre(&mut self, id: SessionId, centre: &Name) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.centre = centre.clone();
        }
    }

    /// Whether an entry has tasks queued or running here.
    pub fn has_open_work(&self, id: SessionId) -> bool {
        self.batches.values().any(|b| b.session == id && b.pending > 0)
            || self.runs.values().any(|r| self.session_of(r) == Some(id))
    }

    /// Closes the session of an entry that doesn't need this agent and has no
    /// open work.
    pub fn close_session(&mut self, id: SessionId) {
        invariant!(!self.has_open_work(id), "session {} closed with open work", id.0);
        if let Some(session) = self.sessions.remove(&id) {
            Event::SessionClosed
                .note(&[("entry", (&*session.name).into()), ("session", id.0.into())]);
        }
    }

    /// Latest time at which an entry is known to have been alive.
    pub fn last_seen(&self, id: SessionId) -> Option<Uptime> {
        self.sessions.get(&id).map(|s| s.last_seen)
    }

    pub(super) fn expire_sessions(&mut self, now: Uptime) {
        let ttl = self.settings.timings.session_ttl;
        let expired: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.last_seen + ttl < now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let Some(session) = self.sessions.remove(&id) else { continue };
            let runs: Vec<RunKey> = self
                .runs
                .iter()
                .filter(|(_, r)| self.session_of(r) == Some(id))
                .map(|(k, _)| k)
                .collect();
            Event::SessionExpired.note(&[
                ("entry", (&*session.name).into()),
                ("session", id.0.into()),
                ("silent_ms", millis(now.saturating_sub(session.last_seen)).into()),
                ("runs", (runs.len() as u64).into()),
            ]);
            for key in runs {
                if let Some(run) = self.runs.get_mut(key).filter(|r| r.is_active()) {
                    run.session_end.get_or_insert(session.last_seen + ttl);
                }
                self.stop_run(key, StopReason::SessionExpired, now);
            }
        }
    }

    pub(super) fn session_of(&self, run: &Run) -> Option<SessionId> {
        self.batches.get(run.batch).map(|b| b.session)
    }
}
