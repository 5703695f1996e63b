use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use base::{Event, Member, Name, TaskId, invariant};
use claim::Tenure;

use crate::{
    Effect, Heartbeat, Now, Proposal, Roster, Rule, Settings, SettledChange, SoleMember,
    contacts::Contacts,
    document::find,
    history::History,
    home,
    takeover::{Missing, Takeover},
};

/// Longest wait for the outcome of a read or a write of the row.
const ROW_TIMEOUT: Duration = Duration::from_secs(5);

/// One member's side of the roster protocol: messages and time in, effects
/// out.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    me: Member,
    origin: Instant,
    /// when this life began
    born: Instant,
    intent: Intent,
    roster: Roster,
    history: History,
    contacts: Contacts,
    takeover: Option<Takeover>,
    row: RowState,
    /// when the unsettled roster was learnt, wall clock
    learnt_ms: u64,
    ready_since: Option<Instant>,
    /// what this member did while it was alone in the roster
    solo: Cell<SoleMember>,
    last_tick: Instant,
    effects: Vec<Effect>,
}

/// Whether the member wants to be in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Intent {
    Stay,
    Leave,
}

/// What is known of the row.
#[derive(Debug, Default)]
struct RowState {
    /// version and change number last read
    seen: Option<(u64, u64)>,
    /// a read or a write without an outcome yet
    busy: Option<Instant>,
    last_read: Option<Instant>,
    /// the document is newer than what was read
    stale: bool,
    /// the last write, until it is seen in the row
    wrote: Option<Roster>,
}

/// What a member says to one that asks for records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handover {
    /// hand the records over: the epoch is promised
    Accept,
    /// the roster went on, or the document is not for this member
    Refuse,
}

impl Membership {
    pub fn new(me: Member, settings: Settings, now: Now) -> Self {
        Self {
            settings,
            me,
            origin: now.at,
            born: now.at,
            intent: Intent::Stay,
            roster: Roster::default(),
            history: History::default(),
            contacts: Contacts::default(),
            takeover: None,
            row: RowState::default(),
            learnt_ms: now.wall_ms,
            ready_since: None,
            solo: Cell::new(SoleMember::NoGrants),
            last_tick: now.at,
            effects: Vec::new(),
        }
    }

    pub fn me(&self) -> &Member {
        &self.me
    }

    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    pub fn is_listed(&self) -> bool {
        self.roster.contains(&self.me)
    }

    /// Whether a planned leave is over: the records are handed over.
    pub fn has_left(&self) -> bool {
        self.intent == Intent::Leave && self.roster.settled && !self.is_listed()
    }

    /// Whether this member may act as home for a task now.
    pub fn tenure(&self, id: &TaskId, now: Instant) -> Tenure {
        let epoch = self.roster.epoch;
        if !self.is_home(id) || !self.has_permit(now) {
            return Tenure::NotHome { epoch };
        }
        let Some(since) = self.tenure_start(id) else {
            return Tenure::NotHome { epoch };
        };
        if self.roster.members.len() == 1 {
            self.solo.set(SoleMember::Granted);
        }
        let since = if self.settings.is_enabled(Rule::Tenure) { since } else { 1 };
        let marks = &self.roster.record_losses;
        let unsure_before = self.newest(marks, since).map(|at_ms| at_ms + self.skew_ms());
        let barred_before = self.newest(&self.roster.member_losses, since);
        Tenure::Home { epoch, since, unknown_before: unsure_before, barred_before }
    }

    /// First epoch of this member's unbroken tenure of a key, if it lasts.
    pub fn tenure_start(&self, id: &TaskId) -> Option<u64> {
        self.history.tenure_start(id, &self.me)
    }

    /// Whether a claim that this member granted in an epoch still counts: it
    /// was made within the tenure that lasts, or that this change ends.
    pub fn is_valid_grant(&self, id: &TaskId, epoch: u64) -> bool {
        let last = if self.roster.settled { self.roster.epoch } else { self.roster.base_epoch };
        let tenure = self.history.tenure_start_as_of(id, &self.me, last);
        tenure.is_some_and(|since| epoch >= since)
    }

    /// Whether heartbeats of majorities are acknowledged within the lease.
    pub fn has_permit(&self, now: Instant) -> bool {
        if !self.settings.is_enabled(Rule::Permit) {
            return true;
        }
        let unsettled = !self.roster.settled;
        let old = unsettled && self.settings.is_enabled(Rule::OldMajority);
        let new = !unsettled || self.settings.is_enabled(Rule::NewMajority);
        self.is_listed()
            && (!new || self.has_majority(&self.roster.members, now))
            && (!old || self.has_majority(&self.roster.base_members, now))
    }

    /// Whether more members are lost than the rest may replace by themselves.
    pub fn is_blocked(&self, now: Instant) -> bool {
        let limit = self.settings.suspect_after;
        let lost = self.others().iter().any(|m| self.contacts.is_silent(m, limit, now));
        self.is_listed() && lost && !self.can_replace(now)
    }

    /// Time passes: heartbeats, reads, and whatever became due.
    pub fn tick(&mut self, now: Now) -> Vec<Effect> {
        if now.at.duration_since(self.last_tick) > self.settings.suspect_after / 2 {
            self.contacts.reset_silence();
        }
        self.last_tick = now.at;
        self.history.prune(2 * self.settings.retention, now.at);
        self.read_if_due(now);
        self.beat_if_due(now);
        self.advance(now)
    }

    /// A heartbeat came in; the first part of the result is its reply.
    pub fn on_heartbeat(&mut self, beat: &Heartbeat, now: Now) -> (Heartbeat, Vec<Effect>) {
        self.hear(beat, now);
        let effects = self.advance(now);
        (self.reply(beat, now), effects)
    }

    /// The reply to a heartbeat came in.
    pub fn on_heartbeat_reply(&mut self, beat: &Heartbeat, now: Now) -> Vec<Effect> {
        self.hear(beat, now);
        if beat.revision < self.roster.revision {
            self.tell_sender(beat, now);
        }
        self.advance(now)
    }

    /// The row as the table has it now; version 0 when there is none.
    pub fn on_row_read(&mut self, version: u64, row: Option<Roster>, now: Now) -> Vec<Effect> {
        self.row.busy = None;
        self.row.last_read = Some(now.at);
        let roster = row.unwrap_or_default();
        self.row.seen = Some((version, roster.revision));
        let leaving = self.roster.leaving.clone();
        self.learn(&roster, now);
        if self.row.wrote.as_ref() == Some(&roster) {
            self.row.wrote = None;
            self.tell_others(&leaving, now);
        }
        self.advance(now)
    }

    /// A read or a write failed, or nobody knows whether it took effect.
    pub fn on_row_failed(&mut self, _now: Now) {
        self.row.busy = None;
        self.row.seen = None;
    }

    /// A new home of `roster` asks for the records of its keys.
    pub fn on_collect(
        &mut self,
        home: &Member,
        roster: &Roster,
        now: Now,
    ) -> (Handover, Vec<Effect>) {
        self.learn(roster, now);
        let promised = self.roster.epoch == roster.epoch && self.roster.contains(home);
        let here = self.is_listed() || find(&self.roster.leaving, &self.me);
        let effects = self.advance(now);
        let handover = if promised && here { Handover::Accept } else { Handover::Refuse };
        (handover, effects)
    }

    /// All records of a member are adopted.
    pub fn on_collected(&mut self, from: &Member, epoch: u64, now: Now) -> Vec<Effect> {
        if epoch == self.roster.epoch {
            self.contacts.on_promise(from, epoch, now.at);
            if let Some(takeover) = &mut self.takeover {
                takeover.on_collected(from);
            }
        }
        self.advance(now)
    }

    /// Begins a planned leave: the others take over while this one lives.
    pub fn leave(&mut self, now: Now) -> Vec<Effect> {
        self.intent = Intent::Leave;
        self.advance(now)
    }

    fn is_home(&self, id: &TaskId) -> bool {
        let in_list = |list| home(list, id).is_some_and(|h: &Member| h.same_incarnation(&self.me));
        let settled = self.roster.settled || !self.settings.is_enabled(Rule::Settled);
        in_list(&self.roster.members) && (settled || in_list(&self.roster.base_members))
    }

    fn has_majority(&self, members: &[Member], now: Instant) -> bool {
        let lease = self.settings.lease;
        let acked =
            |m: &&Member| m.same_incarnation(&self.me) || self.contacts.is_acked(m, lease, now);
        members.iter().filter(acked).count() >= majority(members.len())
    }

    /// Time of the newest of these changes that was no later than a tenure.
    fn newest(&self, changes: &[SettledChange], since: u64) -> Option<u64> {
        let old = self.settings.is_enabled(Rule::OldMarks);
        let binds = |epoch| epoch == since || (old && epoch < since);
        changes.iter().filter(|m| binds(m.epoch)).map(|m| m.at_ms).max()
    }

    fn skew_ms(&self) -> u64 {
        self.settings.clock_skew.as_millis() as u64
    }

    fn hear(&mut self, beat: &Heartbeat, now: Now) {
        if beat.to_incarnation != self.me.incarnation {
            return;
        }
        if let Some(roster) = &beat.roster {
            self.learn(roster, now);
        }
        self.contacts.on_heartbeat(beat, now.at);
        let promised = beat.promised_epoch <= self.roster.epoch;
        let sent = self.origin + Duration::from_micros(beat.echo);
        if promised && beat.echo > 0 && sent >= self.born && sent <= now.at {
            self.contacts.on_ack(&beat.from, beat.incarnation, sent);
        }
    }

    fn reply(&self, beat: &Heartbeat, now: Now) -> Heartbeat {
        let behind = beat.revision < self.roster.revision;
        let roster = behind.then(|| self.roster.clone());
        let stamp = beat.timestamp;
        Heartbeat { echo: stamp, roster, ..self.say(beat.incarnation, now) }
    }

    fn say(&self, to: u64, now: Now) -> Heartbeat {
        Heartbeat {
            from: self.me.name.clone(),
            incarnation: self.me.incarnation,
            to_incarnation: to,
            promised_epoch: self.roster.epoch,
            revision: self.roster.revision,
            ready_epoch: self.ready(now.at),
            timestamp: self.stamp(now.at),
            echo: 0,
            roster: None,
        }
    }

    fn stamp(&self, at: Instant) -> u64 {
        at.duration_since(self.origin).as_micros() as u64 + 1
    }

    fn send_beat(&mut self, to: &Member, now: Now) {
        let known = self.contacts.get(to).map_or(0, |c| c.revision);
        let behind = known > 0 && known < self.roster.revision;
        self.send(to, behind.then(|| self.roster.clone()), now);
    }

    fn send(&mut self, to: &Member, roster: Option<Roster>, now: Now) {
        let echo = self.contacts.get(to).map_or(0, |c| c.timestamp);
        let beat = Heartbeat { echo, roster, ..self.say(to.incarnation, now) };
        self.contacts.on_sent(to, now.at);
        self.effects.push(Effect::SendHeartbeat { to: to.clone(), heartbeat: Box::new(beat) });
    }

    /// Spreads the document: its writer needn't wait until the others read it.
    fn tell_others(&mut self, leaving: &[Member], now: Now) {
        let mut all = self.others();
        all.extend(leaving.iter().filter(|m| !find(&all, m)).cloned().collect::<Vec<_>>());
        all.retain(|m| m.name != self.me.name);
        for member in &all {
            self.send(member, Some(self.roster.clone()), now);
        }
    }

    fn tell_sender(&mut self, beat: &Heartbeat, now: Now) {
        let sender = |m: &&Member| m.name == beat.from && m.incarnation == beat.incarnation;
        if let Some(member) = self.others().iter().find(sender) {
            self.send(member, Some(self.roster.clone()), now);
        }
    }

    /// Everyone else whom this roster concerns, and who may be alive.
    fn others(&self) -> Vec<Member> {
        let members = &self.roster.members;
        let replaced = |m: &Member| members.iter().any(|n| n.name == m.name);
        let gone = self.roster.base_members.iter().filter(|m| !replaced(m));
        let all = members.iter().chain(gone);
        all.filter(|m| m.name != self.me.name).cloned().collect()
    }

    fn read_if_due(&mut self, now: Now) {
        if self.row.busy.is_some_and(|at| now.at.duration_since(at) > ROW_TIMEOUT) {
            self.on_row_failed(now);
        }
        let last = self.row.last_read;
        if last.is_none_or(|at| now.at.duration_since(at) >= self.settings.poll_interval) {
            self.ask_row(now);
        }
    }

    fn ask_row(&mut self, now: Now) {
        if self.row.busy.is_none() {
            self.row.busy = Some(now.at);
            self.row.last_read = Some(now.at);
            self.effects.push(Effect::ReadRow);
        }
    }

    fn beat_if_due(&mut self, now: Now) {
        for member in self.targets(now.at) {
            if self.contacts.is_due(&member, self.settings.heartbeat_interval, now.at) {
                self.send_beat(&member, now);
            }
        }
    }

    /// Whom to send heartbeats: the next few of the ring, whose own heartbeats
    /// serve the ones before them; everyone while anything is amiss.
    fn targets(&self, now: Instant) -> Vec<Member> {
        if !self.is_listed() && !find(&self.roster.leaving, &self.me) {
            return Vec::new();
        }
        let mut others = self.others();
        let silent = |m: &Member| self.contacts.is_silent(m, self.settings.heartbeat_interval, now);
        if !self.roster.settled || others.iter().any(silent) || !self.is_safe(now) {
            return others;
        }
        others.sort_by_key(|m| (m.name < self.me.name, m.name.clone()));
        others.truncate(majority(self.roster.members.len()).div_ceil(2));
        others
    }

    /// Whether the permit lasts until the heartbeat after next.
    fn is_safe(&self, now: Instant) -> bool {
        self.has_permit(now + self.settings.heartbeat_interval)
    }

    /// Takes a newer document of the row.
    fn learn(&mut self, roster: &Roster, now: Now) {
        if roster.revision <= self.roster.revision {
            return;
        }
        self.row.stale = true;
        let was = self.is_listed() || find(&self.roster.leaving, &self.me);
        let news = roster.epoch > self.roster.epoch;
        self.roster = roster.clone();
        if news {
            self.begin_epoch(was, now);
        }
        if self.last_life() > self.me.incarnation {
            // the clock went back between two starts
            self.begin_life(now);
        }
        if self.roster.settled {
            self.takeover = None;
            self.effects.push(Effect::DropMovedClaims);
        }
        self.ready_since = None;
    }

    /// Newest incarnation that the roster knows under this name.
    fn last_life(&self) -> u64 {
        let known = self.roster.members.iter().chain(&self.roster.base_members);
        let named = known.filter(|m| m.name == self.me.name);
        named.map(|m| m.incarnation).max().unwrap_or(0)
    }

    fn begin_epoch(&mut self, was: bool, now: Now) {
        self.learnt_ms = now.wall_ms;
        self.takeover = None;
        let Roster { members, base_members: base, .. } = &self.roster;
        let listed = |name: &Name, incarnation| {
            members.iter().chain(base).any(|m| m.name == *name && m.incarnation == incarnation)
        };
        self.contacts.retain(listed);
        if find(&self.roster.leaving, &self.me) {
            return;
        }
        if !self.is_listed() {
            if was && self.intent == Intent::Stay {
                self.begin_life(now);
            }
            return;
        }
        let joins = !find(&self.roster.base_members, &self.me);
        let founds = self.roster.settled && self.roster.members.len() == 1 && !was;
        if self.roster.settled && !founds || !self.history.push(&self.roster, joins, now.at) {
            // the others went on without this life's promise
            self.begin_life(now);
            return;
        }
        if !self.roster.settled && self.roster.gains_keys(&self.me) {
            self.takeover = Some(Takeover::new(self.roster.sources()));
        }
    }

    fn begin_life(&mut self, now: Now) {
        Event::NewIncarnation.log(format_args!("{} at epoch {}", self.me.name, self.roster.epoch));
        let next = self.me.incarnation.max(self.last_life()) + 1;
        self.me.incarnation = next.max(now.wall_ms * 1000);
        self.born = now.at;
        self.history.clear();
        self.contacts.clear();
        self.takeover = None;
        self.effects.push(Effect::Reset);
    }

    /// Does whatever is due after any input.
    fn advance(&mut self, now: Now) -> Vec<Effect> {
        self.collect_missing(now);
        self.note_ready(now);
        self.change_row(now);
        std::mem::take(&mut self.effects)
    }

    fn collect_missing(&mut self, now: Now) {
        let Some(mut takeover) = self.takeover.take() else { return };
        let every = self.settings.heartbeat_interval;
        let due = |m: &&mut Missing| m.asked.is_none_or(|at| now.at.duration_since(at) >= every);
        for missing in takeover.missing.iter_mut().filter(due) {
            missing.asked = Some(now.at);
            let from = missing.member.clone();
            let roster = Box::new(self.roster.clone());
            self.effects.push(if from.same_incarnation(&self.me) {
                Effect::CollectOwnRecords { roster }
            } else {
                Effect::CollectRecords { from, roster }
            });
        }
        takeover.whole = self.roster.base_members.iter().all(|m| self.has_promised(m));
        if takeover.broken.is_none() && self.is_broken() {
            takeover.broken = Some(now.at);
        }
        self.takeover = Some(takeover);
    }

    /// Whether a member of the old roster acknowledges its epoch no more.
    fn has_promised(&self, member: &Member) -> bool {
        let epoch = self.roster.epoch;
        let heard = |m: &Member| self.contacts.get(m).is_some_and(|c| c.promised_epoch >= epoch);
        let promised = |m: &Member| m.same_incarnation(&self.me) || heard(m);
        promised(member) || self.successor(member).is_some_and(promised)
    }

    /// A newer life under the same name and address: the older one is dead.
    fn successor(&self, member: &Member) -> Option<&Member> {
        let follows = |m: &&Member| {
            m.name == member.name
                && m.address == member.address
                && m.incarnation > member.incarnation
        };
        self.roster.members.iter().find(follows)
    }

    /// Whether no majority of the old roster can acknowledge its epoch.
    fn is_broken(&self) -> bool {
        let base = &self.roster.base_members;
        let promised = base.iter().filter(|m| self.has_promised(m) || self.is_confirmed(m));
        promised.count() > base.len() - majority(base.len())
    }

    fn is_confirmed(&self, member: &Member) -> bool {
        self.roster.confirmed_loss.as_ref().is_some_and(|c| find(&c.lost, member))
    }

    /// The epoch whose records this member holds.
    fn ready(&self, now: Instant) -> u64 {
        let wait = self.settings.lease_wait();
        let over = |t: &Takeover| {
            let ended = t.broken.is_some_and(|at| now.duration_since(at) >= wait);
            let ended = ended || !self.settings.is_enabled(Rule::Wait);
            let complete = t.missing.is_empty() || !self.settings.is_enabled(Rule::Collect);
            complete && (t.whole || ended)
        };
        let ready = self.is_listed() && self.takeover.as_ref().is_none_or(over);
        if ready { self.roster.epoch } else { 0 }
    }

    /// Tells those who settle first that the records are here.
    fn note_ready(&mut self, now: Now) {
        if self.roster.settled || self.ready(now.at) == 0 || self.ready_since.is_some() {
            return;
        }
        self.ready_since = Some(now.at);
        let first: Vec<_> = self.roster.members.iter().take(2).cloned().collect();
        let mine = self.me.clone();
        for member in first.iter().filter(|m| !m.same_incarnation(&mine)) {
            self.send_beat(member, now);
        }
    }

    fn change_row(&mut self, now: Now) {
        if self.row.busy.is_some() {
            return;
        }
        let Some(next) = self.next(now) else { return };
        match self.row.seen {
            Some((version, change)) if change == self.roster.revision => {
                self.row.busy = Some(now.at);
                self.row.wrote = Some(next.clone());
                let roster = Box::new(next);
                self.effects.push(Effect::WriteRow { expected: version, roster });
            }
            _ => self.ask_row_soon(now),
        }
    }

    /// Reads the row for a change, but not in a tight loop on a table that is down.
    fn ask_row_soon(&mut self, now: Now) {
        let pause = self.settings.poll_interval / 8;
        let last = self.row.last_read;
        if self.row.stale || last.is_none_or(|at| now.at.duration_since(at) >= pause) {
            self.row.stale = false;
            self.ask_row(now);
        }
    }

    /// The document that should follow, if any.
    fn next(&self, now: Now) -> Option<Roster> {
        if self.can_settle(now.at) {
            let time = self.settings.is_enabled(Rule::MarkTime);
            let wall_ms = if time { now.wall_ms } else { self.learnt_ms };
            return Some(self.roster.settle(wall_ms, self.solo(), &self.settings));
        }
        let nobody =
            self.roster.epoch == 0 || (self.roster.settled && self.roster.members.is_empty());
        if nobody {
            return (self.intent == Intent::Stay).then(|| self.roster.bootstrap(&self.me));
        }
        self.proposal(now.at).map(|p| self.roster.propose(&p, &self.settings))
    }

    /// Only the member itself knows what it did alone.
    fn solo(&self) -> SoleMember {
        let [alone] = &self.roster.base_members[..] else { return SoleMember::NoGrants };
        if alone.same_incarnation(&self.me) { self.solo.get() } else { SoleMember::Granted }
    }

    /// Every member of the new roster is ready; the first listed settles it,
    /// the others only if it doesn't.
    fn can_settle(&self, now: Instant) -> bool {
        if self.roster.settled || self.roster.epoch == 0 {
            return false;
        }
        let epoch = self.roster.epoch;
        let heard = |m: &Member| self.contacts.get(m).is_some_and(|c| c.ready_epoch >= epoch);
        let ready =
            |m: &Member| if m.same_incarnation(&self.me) { self.ready(now) > 0 } else { heard(m) };
        if !self.roster.members.iter().all(ready) {
            return false;
        }
        let Some(rank) = self.roster.members.iter().position(|m| m.same_incarnation(&self.me))
        else {
            return self.roster.members.is_empty() && find(&self.roster.leaving, &self.me);
        };
        let patience = self.settings.heartbeat_interval * rank as u32;
        self.ready_since.is_some_and(|at| now.duration_since(at) >= patience)
    }

    fn proposal(&self, now: Instant) -> Option<Proposal> {
        if !self.is_listed() {
            let joins = self.intent == Intent::Stay;
            return joins.then(|| Proposal { joins: Some(self.me.clone()), ..Proposal::default() });
        }
        let lost = self.lost(now);
        let leaves = self.intent == Intent::Leave && self.roster.settled;
        let leaves = leaves.then(|| self.me.clone());
        if lost.is_empty() && leaves.is_none() {
            return None;
        }
        invariant!(!find(&lost, &self.me), "a member takes itself for lost");
        Some(Proposal { joins: None, leaves, lost })
    }

    /// Members that are lost, as far as enough of the others are not: those
    /// left must be able to break every majority of the old roster.
    fn lost(&self, now: Instant) -> Vec<Member> {
        let limit = self.settings.suspect_after;
        let gone = |m: &Member| {
            self.contacts.is_silent(m, limit, now)
                || (self.is_confirmed(m) && !self.is_heard(m, now))
        };
        let listed = self.roster.members.iter().chain(&self.roster.leaving);
        let lost: Vec<_> = listed.filter(|m| gone(m)).cloned().collect();
        if self.can_replace(now) { lost } else { Vec::new() }
    }

    /// Whether enough of the old roster are left to break every majority of it.
    fn can_replace(&self, now: Instant) -> bool {
        let base =
            if self.roster.settled { &self.roster.members } else { &self.roster.base_members };
        let left = base.iter().filter(|m| self.is_left(m, now)).count();
        left > base.len() - majority(base.len())
    }

    fn is_left(&self, member: &Member, now: Instant) -> bool {
        let here = |m: &Member| m.same_incarnation(&self.me) || self.is_heard(m, now);
        here(member) || self.successor(member).is_some_and(here) || self.is_confirmed(member)
    }

    fn is_heard(&self, member: &Member, now: Instant) -> bool {
        self.contacts.is_seen(member, self.settings.suspect_after, now)
    }
}

/// Least number of members that is more than half.
fn majority(members: usize) -> usize {
    members / 2 + 1
}
