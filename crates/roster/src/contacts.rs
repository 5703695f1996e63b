use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base::{Member, Name};

use crate::Beat;

/// What a member has heard of the others, one entry a life.
#[derive(Debug, Default)]
pub struct Contacts {
    known: BTreeMap<(Name, u64), Contact>,
}

/// What one life of a member has said.
#[derive(Debug, Default)]
pub struct Contact {
    pub heard: Option<Instant>,
    /// first heartbeat since then that got no answer
    pub probed: Option<Instant>,
    pub last_beat: Option<Instant>,
    pub epoch: u64,
    pub change: u64,
    pub ready: u64,
    /// newest stamp it sent
    pub stamp: u64,
    /// when the newest heartbeat that it acknowledged was sent
    pub acked: Option<Instant>,
}

impl Contacts {
    pub fn get(&self, member: &Member) -> Option<&Contact> {
        self.known.get(&(member.name.clone(), member.incarnation))
    }

    /// Notes a heartbeat.
    pub fn hear(&mut self, beat: &Beat, now: Instant) {
        let contact = self.life(&beat.from, beat.incarnation);
        contact.heard = Some(now);
        contact.probed = None;
        contact.epoch = contact.epoch.max(beat.epoch);
        contact.change = contact.change.max(beat.change);
        contact.ready = contact.ready.max(beat.ready);
        contact.stamp = contact.stamp.max(beat.stamp);
    }

    pub fn ack(&mut self, from: &Name, incarnation: u64, sent: Instant) {
        let contact = self.life(from, incarnation);
        contact.acked = contact.acked.max(Some(sent));
    }

    /// Notes a heartbeat sent.
    pub fn probe(&mut self, to: &Member, now: Instant) {
        let contact = self.life(&to.name, to.incarnation);
        contact.last_beat = Some(now);
        contact.probed.get_or_insert(now);
    }

    /// Notes that a member promised an epoch by what it answered.
    pub fn promised(&mut self, member: &Member, epoch: u64, now: Instant) {
        let contact = self.life(&member.name, member.incarnation);
        contact.heard = Some(now);
        contact.probed = None;
        contact.epoch = contact.epoch.max(epoch);
    }

    /// Whether a heartbeat to it is due.
    pub fn is_due(&self, member: &Member, every: Duration, now: Instant) -> bool {
        let last = self.get(member).and_then(|c| c.last_beat);
        last.is_none_or(|at| now.duration_since(at) >= every)
    }

    /// Whether it left heartbeats unanswered for this long.
    pub fn is_silent(&self, member: &Member, limit: Duration, now: Instant) -> bool {
        let probed = self.get(member).and_then(|c| c.probed);
        probed.is_some_and(|at| now.duration_since(at) > limit)
    }

    /// Whether it was heard within this time.
    pub fn is_heard(&self, member: &Member, limit: Duration, now: Instant) -> bool {
        let heard = self.get(member).and_then(|c| c.heard);
        heard.is_some_and(|at| now.duration_since(at) <= limit)
    }

    /// Whether it acknowledged a heartbeat sent within the lease.
    pub fn is_acked(&self, member: &Member, lease: Duration, now: Instant) -> bool {
        let acked = self.get(member).and_then(|c| c.acked);
        acked.is_some_and(|at| now.duration_since(at) < lease)
    }

    /// Forgets silences: this process itself was asleep.
    pub fn forgive(&mut self) {
        self.known.values_mut().for_each(|c| c.probed = None);
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
