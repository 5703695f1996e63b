use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base::{Member, Name};

use crate::Heartbeat;

/// Heartbeat state of the other members, by name and incarnation.
#[derive(Debug, Default)]
pub struct Contacts {
    known: BTreeMap<(Name, u64), Contact>,
}

/// Heartbeat state of one incarnation of a member.
#[derive(Debug, Default)]
pub struct Contact {
    pub last_seen: Option<Instant>,
    /// when the first heartbeat since then was sent that has no answer
    pub unanswered_since: Option<Instant>,
    pub last_sent: Option<Instant>,
    pub promised_epoch: u64,
    pub revision: u64,
    pub ready_epoch: u64,
    /// newest timestamp it sent
    pub timestamp: u64,
    /// send time of the newest heartbeat that it acknowledged
    pub acked_sent_at: Option<Instant>,
}

impl Contacts {
    pub fn get(&self, member: &Member) -> Option<&Contact> {
        self.known.get(&(member.name.clone(), member.incarnation))
    }

    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let contact = self.entry(&heartbeat.from, heartbeat.incarnation);
        contact.last_seen = Some(now);
        contact.unanswered_since = None;
        contact.promised_epoch = contact.promised_epoch.max(heartbeat.promised_epoch);
        contact.revision = contact.revision.max(heartbeat.revision);
        contact.ready_epoch = contact.ready_epoch.max(heartbeat.ready_epoch);
        contact.timestamp = contact.timestamp.max(heartbeat.timestamp);
    }

    pub fn on_ack(&mut self, from: &Name, incarnation: u64, sent: Instant) {
        let contact = self.entry(from, incarnation);
        contact.acked_sent_at = contact.acked_sent_at.max(Some(sent));
    }

    pub fn on_sent(&mut self, to: &Member, now: Instant) {
        let contact = self.entry(&to.name, to.incarnation);
        contact.last_sent = Some(now);
        contact.unanswered_since.get_or_insert(now);
    }

    /// Records a promise of an epoch that was given by another answer than a
    /// heartbeat.
    pub fn on_promise(&mut self, member: &Member, epoch: u64, now: Instant) {
        let contact = self.entry(&member.name, member.incarnation);
        contact.last_seen = Some(now);
        contact.unanswered_since = None;
        contact.promised_epoch = contact.promised_epoch.max(epoch);
    }

    /// Whether a heartbeat to it is due.
    pub fn is_due(&self, member: &Member, every: Duration, now: Instant) -> bool {
        let last = self.get(member).and_then(|c| c.last_sent);
        last.is_none_or(|at| now.duration_since(at) >= every)
    }

    /// Whether it has left heartbeats unanswered for longer than `limit`.
    pub fn is_silent(&self, member: &Member, limit: Duration, now: Instant) -> bool {
        let unanswered_since = self.get(member).and_then(|c| c.unanswered_since);
        unanswered_since.is_some_and(|at| now.duration_since(at) > limit)
    }

    /// Whether it was last seen within `limit`.
    pub fn is_seen(&self, member: &Member, limit: Duration, now: Instant) -> bool {
        let last_seen = self.get(member).and_then(|c| c.last_seen);
        last_seen.is_some_and(|at| now.duration_since(at) <= limit)
    }

    /// Whether it acknowledged a heartbeat that was sent within the lease.
    pub fn is_acked(&self, member: &Member, lease: Duration, now: Instant) -> bool {
        let acked = self.get(member).and_then(|c| c.acked_sent_at);
        acked.is_some_and(|at| now.duration_since(at) < lease)
    }

    /// Clears unanswered heartbeats after a pause of this process itself.
    pub fn reset_silence(&mut self) {
        self.known.values_mut().for_each(|c| c.unanswered_since = None);
    }

    /// Drops the state of earlier incarnations of this process.
    pub fn clear(&mut self) {
        self.known.clear();
    }

    /// Keeps only the incarnations that `named` accepts.
    pub fn retain(&mut self, named: impl Fn(&Name, u64) -> bool) {
        self.known.retain(|(name, incarnation), _| named(name, *incarnation));
    }

    fn entry(&mut self, name: &Name, incarnation: u64) -> &mut Contact {
        self.known.entry((name.clone(), incarnation)).or_default()
    }
}
