use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base::{Member, Name};

use crate::Heartbeat;

/// What a member has heard of the others, one entry a life.
#[derive(Debug, Default)]
pub struct Contacts {
    known: BTreeMap<(Name, u64), Contact>,
}

/// What one life of a member has said.
#[derive(Debug, Default)]
pub struct Contact {
    pub last_seen: Option<Instant>,
    /// first heartbeat since then that got no answer
    pub unanswered_since: Option<Instant>,
    pub last_sent: Option<Instant>,
    pub promised_epoch: u64,
    pub revision: u64,
    pub ready_epoch: u64,
    /// newest stamp it sent
    pub timestamp: u64,
    /// when the newest heartbeat that it acknowledged was sent
    pub acked_sent_at: Option<Instant>,
}

impl Contacts {
    pub fn get(&self, member: &Member) -> Option<&Contact> {
        self.known.get(&(member.name.clone(), member.incarnation))
    }

    /// Notes a heartbeat.
    pub fn on_heartbeat(&mut self, beat: &Heartbeat, now: Instant) {
        let contact = self.life(&beat.from, beat.incarnation);
        contact.last_seen = Some(now);
        contact.unanswered_since = None;
        contact.promised_epoch = contact.promised_epoch.max(beat.promised_epoch);
        contact.revision = contact.revision.max(beat.revision);
        contact.ready_epoch = contact.ready_epoch.max(beat.ready_epoch);
        contact.timestamp = contact.timestamp.max(beat.timestamp);
    }

    pub fn on_ack(&mut self, from: &Name, incarnation: u64, sent: Instant) {
        let contact = self.life(from, incarnation);
        contact.acked_sent_at = contact.acked_sent_at.max(Some(sent));
    }

    /// Notes a heartbeat sent.
    pub fn on_sent(&mut self, to: &Member, now: Instant) {
        let contact = self.life(&to.name, to.incarnation);
        contact.last_sent = Some(now);
        contact.unanswered_since.get_or_insert(now);
    }

    /// Notes that a member promised an epoch by what it answered.
    pub fn on_promise(&mut self, member: &Member, epoch: u64, now: Instant) {
        let contact = self.life(&member.name, member.incarnation);
        contact.last_seen = Some(now);
        contact.unanswered_since = None;
        contact.promised_epoch = contact.promised_epoch.max(epoch);
    }

    /// Whether a heartbeat to it is due.
    pub fn is_due(&self, member: &Member, every: Duration, now: Instant) -> bool {
        let last = self.get(member).and_then(|c| c.last_sent);
        last.is_none_or(|at| now.duration_since(at) >= every)
    }

    /// Whether it left heartbeats unanswered for this long.
    pub fn is_silent(&self, member: &Member, limit: Duration, now: Instant) -> bool {
        let probed = self.get(member).and_then(|c| c.unanswered_since);
        probed.is_some_and(|at| now.duration_since(at) > limit)
    }

    /// Whether it was heard within this time.
    pub fn is_seen(&self, member: &Member, limit: Duration, now: Instant) -> bool {
        let heard = self.get(member).and_then(|c| c.last_seen);
        heard.is_some_and(|at| now.duration_since(at) <= limit)
    }

    /// Whether it acknowledged a heartbeat sent within the lease.
    pub fn is_acked(&self, member: &Member, lease: Duration, now: Instant) -> bool {
        let acked = self.get(member).and_then(|c| c.acked_sent_at);
        acked.is_some_and(|at| now.duration_since(at) < lease)
    }

    /// Forgets silences: this process itself was asleep.
    pub fn reset_silence(&mut self) {
        self.known.values_mut().for_each(|c| c.unanswered_since = None);
    }

    /// Forgets everything that was said to an earlier life.
    pub fn clear(&mut self) {
        self.known.clear();
    }

    /// Keeps only those that a roster names.
    pub fn retain(&mut self, named: impl Fn(&Name, u64) -> bool) {
        self.known.retain(|(name, incarnation), _| named(name, *incarnation));
    }

    fn life(&mut self, name: &Name, incarnation: u64) -> &mut Contact {
        self.known.entry((name.clone(), incarnation)).or_default()
    }
}
