use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use base::{Event, Member, Name, TaskId, invariant};
use claim::Tenure;

use crate::{
    Effect, Heartbeat, Now, Proposal, Roster, Rule, Settings, SettledChange, SoleMember,
    contacts::Contacts,
    document::contains,
    history::History,
    home,
    takeover::{PendingHandover, Takeover},
};

/// Longest wait for the outcome of a read or a write of the row.
const ROW_TIMEOUT: Duration = Duration::from_secs(5);

/// State machine of one member of the roster protocol. It takes messages and
/// times, and returns the I/O to do. The roster is stored in one row of a table;
/// members change it by compare-and-set.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    me: Member,
    clock_origin: Instant,
    incarnation_started: Instant,
    intent: Intent,
    roster: Roster,
    history: History,
    contacts: Contacts,
    /// collection of the records of keys that move to this member
    takeover: Option<Takeover>,
    row: RowState,
    /// when the current epoch was learned, unix milliseconds
    learned_ms: u64,
    /// when this member became ready for the current revision to be settled
    ready_since: Option<Instant>,
    /// whether this member granted claims as the sole member
    sole_member: Cell<SoleMember>,
    last_tick: Instant,
    effects: Vec<Effect>,
}

/// Whether the member wants to be in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Intent {
    Stay,
    Leave,
}

/// State of reads and writes of the row.
#[derive(Debug, Default)]
struct RowState {
    /// version of the row and revision of its roster, as last read
    version: Option<(u64, u64)>,
    /// start of a read or a write that has no outcome yet
    pending_since: Option<Instant>,
    last_read: Option<Instant>,
    /// the roster has changed since the row was last requested
    needs_read: bool,
    /// the last write, until it is read back
    last_write: Option<Roster>,
}

/// Answer to a new home that requests records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handover {
    /// the epoch is promised, the records are handed over
    Accept,
    /// the roster is outdated or does not concern this member
    Refuse,
}

impl Membership {
    pub fn new(me: Member, settings: Settings, now: Now) -> Self {
        Self {
            settings,
            me,
            clock_origin: now.at,
            incarnation_started: now.at,
            intent: Intent::Stay,
            roster: Roster::default(),
            history: History::default(),
            contacts: Contacts::default(),
            takeover: None,
            row: RowState::default(),
            learned_ms: now.wall_ms,
            ready_since: None,
            sole_member: Cell::new(SoleMember::NoGrants),
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

    /// Whether a planned leave is complete, with all records handed over.
    pub fn has_left(&self) -> bool {
        self.intent == Intent::Leave && self.roster.settled && !self.is_listed()
    }

    /// Whether this member may act as home for a task at `now`.
    pub fn tenure(&self, id: &TaskId, now: Instant) -> Tenure {
        let epoch = self.roster.epoch;
        if !self.is_home(id) || !self.has_permit(now) {
            return Tenure::NotHome { epoch };
        }
        let Some(since) = self.tenure_start(id) else {
            return Tenure::NotHome { epoch };
        };
        if self.roster.members.len() == 1 {
            self.sole_member.set(SoleMember::Granted);
        }
        let since = if self.settings.is_enabled(Rule::Tenure) { since } else { 1 };
        let record_losses = &self.roster.record_losses;
        let unknown_before =
            self.last_change_ms(record_losses, since).map(|at_ms| at_ms + self.clock_skew_ms());
        let barred_before = self.last_change_ms(&self.roster.member_losses, since);
        Tenure::Home { epoch, since, unknown_before, barred_before }
    }

    /// First epoch of this member's unbroken tenure of a key, if it is the home.
    pub fn tenure_start(&self, id: &TaskId) -> Option<u64> {
        self.history.tenure_start(id, &self.me)
    }

    /// Whether a claim that this member granted in `epoch` is still valid: it
    /// belongs to the current tenure, or to the one that this change ends.
    pub fn is_valid_grant(&self, id: &TaskId, epoch: u64) -> bool {
        let last = if self.roster.settled { self.roster.epoch } else { self.roster.base_epoch };
        let tenure = self.history.tenure_start_as_of(id, &self.me, last);
        tenure.is_some_and(|since| epoch >= since)
    }

    /// Whether this member may act as home: a majority of the roster, and of
    /// the old one during a change, acknowledged heartbeats within the lease.
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

    /// Whether too many members are lost for the others to remove them without
    /// an operator's confirmation.
    pub fn is_blocked(&self, now: Instant) -> bool {
        let limit = self.settings.suspect_after;
        let lost = self.others().iter().any(|m| self.contacts.is_silent(m, limit, now));
        self.is_listed() && lost && !self.can_replace(now)
    }

    /// Sends heartbeats, reads the row and does whatever else is due.
    pub fn tick(&mut self, now: Now) -> Vec<Effect> {
        // after a pause of this process, the silence of the others proves nothing
        if now.at.duration_since(self.last_tick) > self.settings.suspect_after / 2 {
            self.contacts.reset_silence();
        }
        self.last_tick = now.at;
        self.history.prune(2 * self.settings.retention, now.at);
        self.read_row_if_due(now);
        self.send_due_heartbeats(now);
        self.advance(now)
    }

    /// Handles a heartbeat; the first part of the result is the reply.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Now) -> (Heartbeat, Vec<Effect>) {
        self.apply_heartbeat(heartbeat, now);
        let effects = self.advance(now);
        (self.reply(heartbeat, now), effects)
    }

    /// Handles the reply to a heartbeat.
    pub fn on_heartbeat_reply(&mut self, heartbeat: &Heartbeat, now: Now) -> Vec<Effect> {
        self.apply_heartbeat(heartbeat, now);
        if heartbeat.revision < self.roster.revision {
            self.send_roster_to_sender(heartbeat, now);
        }
        self.advance(now)
    }

    /// Handles the row as it is in the table; version 0 if there is none.
    pub fn on_row_read(&mut self, version: u64, row: Option<Roster>, now: Now) -> Vec<Effect> {
        self.row.pending_since = None;
        self.row.last_read = Some(now.at);
        let roster = row.unwrap_or_default();
        self.row.version = Some((version, roster.revision));
        let leaving = self.roster.leaving.clone();
        self.adopt(&roster, now);
        if self.row.last_write.as_ref() == Some(&roster) {
            self.row.last_write = None;
            self.send_roster_to_others(&leaving, now);
        }
        self.advance(now)
    }

    /// Handles a read or a write that failed or whose outcome is unknown.
    pub fn on_row_failed(&mut self, _now: Now) {
        self.row.pending_since = None;
        self.row.version = None;
    }

    /// Handles the request of a new home in `roster` for the records of its keys.
    pub fn on_collect(
        &mut self,
        home: &Member,
        roster: &Roster,
        now: Now,
    ) -> (Handover, Vec<Effect>) {
        self.adopt(roster, now);
        let is_current = self.roster.epoch == roster.epoch && self.roster.contains(home);
        let is_concerned = self.is_listed() || contains(&self.roster.leaving, &self.me);
        let effects = self.advance(now);
        let handover = if is_current && is_concerned { Handover::Accept } else { Handover::Refuse };
        (handover, effects)
    }

    /// Called once all records of a member are adopted.
    pub fn on_collected(&mut self, from: &Member, epoch: u64, now: Now) -> Vec<Effect> {
        if epoch == self.roster.epoch {
            self.contacts.on_promise(from, epoch, now.at);
            if let Some(takeover) = &mut self.takeover {
                takeover.on_collected(from);
            }
        }
        self.advance(now)
    }

    /// Begins a planned leave: the others take over while this member still runs.
    pub fn leave(&mut self, now: Now) -> Vec<Effect> {
        self.intent = Intent::Leave;
        self.advance(now)
    }

    fn is_home(&self, id: &TaskId) -> bool {
        let in_list = |list| home(list, id).is_some_and(|h: &Member| h.same_incarnation(&self.me));
        let settled = self.roster.settled || !self.settings.is_enabled(Rule::GrantOnceSettled);
        in_list(&self.roster.members) && (settled || in_list(&self.roster.base_members))
    }

    fn has_majority(&self, members: &[Member], now: Instant) -> bool {
        let lease = self.settings.lease;
        let acked =
            |m: &&Member| m.same_incarnation(&self.me) || self.contacts.is_acked(m, lease, now);
        members.iter().filter(acked).count() >= majority(members.len())
    }

    /// Time of the last of these changes that applies to a tenure: those up to its
    /// first epoch.
    fn last_change_ms(&self, changes: &[SettledChange], since: u64) -> Option<u64> {
        let with_earlier = self.settings.is_enabled(Rule::EarlierRecordLoss);
        let applies = |epoch| epoch == since || (with_earlier && epoch < since);
        changes.iter().filter(|c| applies(c.epoch)).map(|c| c.at_ms).max()
    }

    fn clock_skew_ms(&self) -> u64 {
        self.settings.clock_skew.as_millis() as u64
    }

    fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Now) {
        if heartbeat.to_incarnation != self.me.incarnation {
            return;
        }
        if let Some(roster) = &heartbeat.roster {
            self.adopt(roster, now);
        }
        self.contacts.on_heartbeat(heartbeat, now.at);
        // a sender that has promised a newer epoch acknowledges this one no longer
        let acknowledges = heartbeat.promised_epoch <= self.roster.epoch;
        let sent = self.clock_origin + Duration::from_micros(heartbeat.echo);
        if acknowledges && heartbeat.echo > 0 && sent >= self.incarnation_started && sent <= now.at
        {
            self.contacts.on_ack(&heartbeat.from, heartbeat.incarnation, sent);
        }
    }

    fn reply(&self, heartbeat: &Heartbeat, now: Now) -> Heartbeat {
        let behind = heartbeat.revision < self.roster.revision;
        let roster = behind.then(|| self.roster.clone());
        let echo = heartbeat.timestamp;
        Heartbeat { echo, roster, ..self.new_heartbeat(heartbeat.incarnation, now) }
    }

    fn new_heartbeat(&self, to: u64, now: Now) -> Heartbeat {
        Heartbeat {
            from: self.me.name.clone(),
            incarnation: self.me.incarnation,
            to_incarnation: to,
            promised_epoch: self.roster.epoch,
            revision: self.roster.revision,
            ready_epoch: self.ready_epoch(now.at),
            timestamp: self.timestamp(now.at),
            echo: 0,
            roster: None,
        }
    }

    /// Microseconds since the start of this clock, plus 1 since 0 means none.
    fn timestamp(&self, at: Instant) -> u64 {
        at.duration_since(self.clock_origin).as_micros() as u64 + 1
    }

    fn send_heartbeat(&mut self, to: &Member, now: Now) {
        let known = self.contacts.get(to).map_or(0, |c| c.revision);
        let behind = known > 0 && known < self.roster.revision;
        self.send_with_roster(to, behind.then(|| self.roster.clone()), now);
    }

    fn send_with_roster(&mut self, to: &Member, roster: Option<Roster>, now: Now) {
        let echo = self.contacts.get(to).map_or(0, |c| c.timestamp);
        let heartbeat = Heartbeat { echo, roster, ..self.new_heartbeat(to.incarnation, now) };
        self.contacts.on_sent(to, now.at);
        self.effects.push(Effect::SendHeartbeat { to: to.clone(), heartbeat: Box::new(heartbeat) });
    }

    /// Sends the roster to all members it concerns, which would otherwise learn of
    /// it only at their next read of the row.
    fn send_roster_to_others(&mut self, leaving: &[Member], now: Now) {
        let mut all = self.others();
        all.extend(leaving.iter().filter(|m| !contains(&all, m)).cloned().collect::<Vec<_>>());
        all.retain(|m| m.name != self.me.name);
        for member in &all {
            self.send_with_roster(member, Some(self.roster.clone()), now);
        }
    }

    fn send_roster_to_sender(&mut self, heartbeat: &Heartbeat, now: Now) {
        let sender =
            |m: &&Member| m.name == heartbeat.from && m.incarnation == heartbeat.incarnation;
        if let Some(member) = self.others().iter().find(sender) {
            self.send_with_roster(member, Some(self.roster.clone()), now);
        }
    }

    /// The other members of this roster and the old one that may be alive.
    fn others(&self) -> Vec<Member> {
        let members = &self.roster.members;
        let replaced = |m: &Member| members.iter().any(|n| n.name == m.name);
        let removed = self.roster.base_members.iter().filter(|m| !replaced(m));
        let all = members.iter().chain(removed);
        all.filter(|m| m.name != self.me.name).cloned().collect()
    }

    fn read_row_if_due(&mut self, now: Now) {
        if self.row.pending_since.is_some_and(|at| now.at.duration_since(at) > ROW_TIMEOUT) {
            self.on_row_failed(now);
        }
        let last = self.row.last_read;
        if last.is_none_or(|at| now.at.duration_since(at) >= self.settings.poll_interval) {
            self.request_row(now);
        }
    }

    fn request_row(&mut self, now: Now) {
        if self.row.pending_since.is_none() {
            self.row.pending_since = Some(now.at);
            self.row.last_read = Some(now.at);
            self.effects.push(Effect::ReadRow);
        }
    }

    fn send_due_heartbeats(&mut self, now: Now) {
        for member in self.heartbeat_targets(now.at) {
            if self.contacts.is_due(&member, self.settings.heartbeat_interval, now.at) {
                self.send_heartbeat(&member, now);
            }
        }
    }

    /// Members to send heartbeats to. Normally these are the next few in the ring
    /// of names, since the ones before send heartbeats here; all others while a
    /// change is unsettled, a member is silent or the permit is about to expire.
    fn heartbeat_targets(&self, now: Instant) -> Vec<Member> {
        if !self.is_listed() && !contains(&self.roster.leaving, &self.me) {
            return Vec::new();
        }
        let mut others = self.others();
        let silent = |m: &Member| self.contacts.is_silent(m, self.settings.heartbeat_interval, now);
        if !self.roster.settled || others.iter().any(silent) || !self.is_permit_safe(now) {
            return others;
        }
        others.sort_by_key(|m| (m.name < self.me.name, m.name.clone()));
        others.truncate(majority(self.roster.members.len()).div_ceil(2));
        others
    }

    /// Whether the permit lasts for another heartbeat interval.
    fn is_permit_safe(&self, now: Instant) -> bool {
        self.has_permit(now + self.settings.heartbeat_interval)
    }

    /// Replaces the roster if this one is newer.
    fn adopt(&mut self, roster: &Roster, now: Now) {
        if roster.revision <= self.roster.revision {
            return;
        }
        self.row.needs_read = true;
        let was_member = self.is_listed() || contains(&self.roster.leaving, &self.me);
        let is_new_epoch = roster.epoch > self.roster.epoch;
        self.roster = roster.clone();
        if is_new_epoch {
            self.begin_epoch(was_member, now);
        }
        if self.last_incarnation() > self.me.incarnation {
            // the wall clock was set back between two starts
            self.begin_incarnation(now);
        }
        if self.roster.settled {
            self.takeover = None;
            self.effects.push(Effect::DropMovedClaims);
        }
        self.ready_since = None;
    }

    /// Newest incarnation of this name in the roster.
    fn last_incarnation(&self) -> u64 {
        let known = self.roster.members.iter().chain(&self.roster.base_members);
        let named = known.filter(|m| m.name == self.me.name);
        named.map(|m| m.incarnation).max().unwrap_or(0)
    }

    fn begin_epoch(&mut self, was_member: bool, now: Now) {
        self.learned_ms = now.wall_ms;
        self.takeover = None;
        let Roster { members, base_members: base, .. } = &self.roster;
        let listed = |name: &Name, incarnation| {
            members.iter().chain(base).any(|m| m.name == *name && m.incarnation == incarnation)
        };
        self.contacts.retain(listed);
        if contains(&self.roster.leaving, &self.me) {
            return;
        }
        if !self.is_listed() {
            if was_member && self.intent == Intent::Stay {
                self.begin_incarnation(now);
            }
            return;
        }
        let is_joining = !contains(&self.roster.base_members, &self.me);
        let is_founder = self.roster.settled && self.roster.members.len() == 1 && !was_member;
        if self.roster.settled && !is_founder
            || !self.history.push(&self.roster, is_joining, now.at)
        {
            // the others changed the roster without this incarnation's promise
            self.begin_incarnation(now);
            return;
        }
        if !self.roster.settled && self.roster.gains_keys(&self.me) {
            self.takeover = Some(Takeover::new(self.roster.sources()));
        }
    }

    fn begin_incarnation(&mut self, now: Now) {
        Event::NewIncarnation.log(format_args!("{} at epoch {}", self.me.name, self.roster.epoch));
        let next = self.me.incarnation.max(self.last_incarnation()) + 1;
        // incarnations are start times in unix microseconds
        self.me.incarnation = next.max(now.wall_ms * 1000);
        self.incarnation_started = now.at;
        self.history.clear();
        self.contacts.clear();
        self.takeover = None;
        self.effects.push(Effect::Reset);
    }

    /// Does whatever an input made due and returns the effects.
    fn advance(&mut self, now: Now) -> Vec<Effect> {
        self.request_records(now);
        self.announce_ready(now);
        self.write_row_if_due(now);
        std::mem::take(&mut self.effects)
    }

    fn request_records(&mut self, now: Now) {
        let Some(mut takeover) = self.takeover.take() else { return };
        let interval = self.settings.heartbeat_interval;
        let due = |h: &&mut PendingHandover| {
            h.requested_at.is_none_or(|at| now.at.duration_since(at) >= interval)
        };
        for handover in takeover.pending.iter_mut().filter(due) {
            handover.requested_at = Some(now.at);
            let from = handover.member.clone();
            let roster = Box::new(self.roster.clone());
            self.effects.push(if from.same_incarnation(&self.me) {
                Effect::CollectOwnRecords { roster }
            } else {
                Effect::CollectRecords { from, roster }
            });
        }
        takeover.all_promised = self.roster.base_members.iter().all(|m| self.has_promised(m));
        if takeover.majority_broken_at.is_none() && self.is_old_majority_broken() {
            takeover.majority_broken_at = Some(now.at);
        }
        self.takeover = Some(takeover);
    }

    /// Whether a member of the old roster has promised the new epoch, and so no
    /// longer acknowledges the old one.
    fn has_promised(&self, member: &Member) -> bool {
        let epoch = self.roster.epoch;
        let has_reported =
            |m: &Member| self.contacts.get(m).is_some_and(|c| c.promised_epoch >= epoch);
        let promised = |m: &Member| m.same_incarnation(&self.me) || has_reported(m);
        promised(member) || self.successor(member).is_some_and(promised)
    }

    /// A newer incarnation under the same name and address, which proves that
    /// the older one is dead.
    fn successor(&self, member: &Member) -> Option<&Member> {
        let follows = |m: &&Member| {
            m.name == member.name
                && m.address == member.address
                && m.incarnation > member.incarnation
        };
        self.roster.members.iter().find(follows)
    }

    /// Whether no majority of the old roster can still acknowledge its epoch.
    fn is_old_majority_broken(&self) -> bool {
        let base = &self.roster.base_members;
        let promised = base.iter().filter(|m| self.has_promised(m) || self.is_confirmed_lost(m));
        promised.count() > base.len() - majority(base.len())
    }

    fn is_confirmed_lost(&self, member: &Member) -> bool {
        self.roster.confirmed_loss.as_ref().is_some_and(|c| contains(&c.lost, member))
    }

    /// The epoch whose records this member holds, 0 if they are incomplete.
    fn ready_epoch(&self, now: Instant) -> u64 {
        let wait = self.settings.lease_wait();
        let is_complete = |t: &Takeover| {
            let lease_over = t.majority_broken_at.is_some_and(|at| now.duration_since(at) >= wait);
            let lease_over = lease_over || !self.settings.is_enabled(Rule::LeaseWait);
            let collected = t.pending.is_empty() || !self.settings.is_enabled(Rule::CollectAll);
            collected && (t.all_promised || lease_over)
        };
        let ready = self.is_listed() && self.takeover.as_ref().is_none_or(is_complete);
        if ready { self.roster.epoch } else { 0 }
    }

    /// Sends a heartbeat to the first two members once this one is ready, since they
    /// are the first that may settle the roster.
    fn announce_ready(&mut self, now: Now) {
        if self.roster.settled || self.ready_epoch(now.at) == 0 || self.ready_since.is_some() {
            return;
        }
        self.ready_since = Some(now.at);
        let first: Vec<_> = self.roster.members.iter().take(2).cloned().collect();
        let mine = self.me.clone();
        for member in first.iter().filter(|m| !m.same_incarnation(&mine)) {
            self.send_heartbeat(member, now);
        }
    }

    fn write_row_if_due(&mut self, now: Now) {
        if self.row.pending_since.is_some() {
            return;
        }
        let Some(next) = self.next_roster(now) else { return };
        match self.row.version {
            Some((version, revision)) if revision == self.roster.revision => {
                self.row.pending_since = Some(now.at);
                self.row.last_write = Some(next.clone());
                let roster = Box::new(next);
                self.effects.push(Effect::WriteRow { expected: version, roster });
            }
            _ => self.request_row_throttled(now),
        }
    }

    /// Reads the row before a change, at a limited rate in case the table is down.
    fn request_row_throttled(&mut self, now: Now) {
        let interval = self.settings.poll_interval / 8;
        let last = self.row.last_read;
        if self.row.needs_read || last.is_none_or(|at| now.at.duration_since(at) >= interval) {
            self.row.needs_read = false;
            self.request_row(now);
        }
    }

    /// The roster to write next, if any.
    fn next_roster(&self, now: Now) -> Option<Roster> {
        if self.can_settle(now.at) {
            let time = self.settings.is_enabled(Rule::RecordLossTime);
            let wall_ms = if time { now.wall_ms } else { self.learned_ms };
            return Some(self.roster.settle(wall_ms, self.sole_member(), &self.settings));
        }
        let is_empty =
            self.roster.epoch == 0 || (self.roster.settled && self.roster.members.is_empty());
        if is_empty {
            return (self.intent == Intent::Stay).then(|| self.roster.bootstrap(&self.me));
        }
        self.proposal(now.at).map(|p| self.roster.propose(&p, &self.settings))
    }

    /// What the sole member of the old roster did, which only it can know.
    fn sole_member(&self) -> SoleMember {
        let [sole] = &self.roster.base_members[..] else { return SoleMember::NoGrants };
        if sole.same_incarnation(&self.me) { self.sole_member.get() } else { SoleMember::Granted }
    }

    /// Whether this member should settle the roster: all members are ready, and
    /// those listed before this one have had time to do it.
    fn can_settle(&self, now: Instant) -> bool {
        if self.roster.settled || self.roster.epoch == 0 {
            return false;
        }
        let epoch = self.roster.epoch;
        let has_reported =
            |m: &Member| self.contacts.get(m).is_some_and(|c| c.ready_epoch >= epoch);
        let ready = |m: &Member| {
            if m.same_incarnation(&self.me) { self.ready_epoch(now) > 0 } else { has_reported(m) }
        };
        if !self.roster.members.iter().all(ready) {
            return false;
        }
        let Some(rank) = self.roster.members.iter().position(|m| m.same_incarnation(&self.me))
        else {
            return self.roster.members.is_empty() && contains(&self.roster.leaving, &self.me);
        };
        let delay = self.settings.heartbeat_interval * rank as u32;
        self.ready_since.is_some_and(|at| now.duration_since(at) >= delay)
    }

    fn proposal(&self, now: Instant) -> Option<Proposal> {
        if !self.is_listed() {
            let joins = self.intent == Intent::Stay;
            return joins.then(|| Proposal { joins: Some(self.me.clone()), ..Proposal::default() });
        }
        let lost = self.lost_members(now);
        let leaves = self.intent == Intent::Leave && self.roster.settled;
        let leaves = leaves.then(|| self.me.clone());
        if lost.is_empty() && leaves.is_none() {
            return None;
        }
        invariant!(!contains(&lost, &self.me), "a member considers itself lost");
        Some(Proposal { joins: None, leaves, lost })
    }

    /// Lost members to remove; none unless enough of the others are available.
    fn lost_members(&self, now: Instant) -> Vec<Member> {
        let limit = self.settings.suspect_after;
        let is_lost = |m: &Member| {
            self.contacts.is_silent(m, limit, now)
                || (self.is_confirmed_lost(m) && !self.is_seen(m, now))
        };
        let listed = self.roster.members.iter().chain(&self.roster.leaving);
        let lost: Vec<_> = listed.filter(|m| is_lost(m)).cloned().collect();
        if self.can_replace(now) { lost } else { Vec::new() }
    }

    /// Whether enough of the old roster are available that no majority of it can
    /// form without their acknowledgements.
    fn can_replace(&self, now: Instant) -> bool {
        let base =
            if self.roster.settled { &self.roster.members } else { &self.roster.base_members };
        let available = base.iter().filter(|m| self.is_available(m, now)).count();
        available > base.len() - majority(base.len())
    }

    fn is_available(&self, member: &Member, now: Instant) -> bool {
        let is_present = |m: &Member| m.same_incarnation(&self.me) || self.is_seen(m, now);
        is_present(member)
            || self.successor(member).is_some_and(is_present)
            || self.is_confirmed_lost(member)
    }

    fn is_seen(&self, member: &Member, now: Instant) -> bool {
        self.contacts.is_seen(member, self.settings.suspect_after, now)
    }
}

/// Smallest number of members that is more than half.
fn majority(members: usize) -> usize {
    members / 2 + 1
}
