use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use base::{Digest, Member, TaskId};
use claim::{Claim, Grant, Holder, Record, Release};
use rand::{Rng, SeedableRng, rngs::StdRng};
use roster::{Effect, Handover, Heartbeat, Roster, Rule, Settings, home};

use crate::node::{Node, agent};

/// True time of one simulation step.
const STEP_MS: u64 = 10;
/// Exceeds the largest difference between two wall clocks.
const CLOCK_MARGIN_MS: u64 = 100;

/// The row in the platform's table, its version, and the faults to simulate.
#[derive(Default)]
pub struct Row {
    pub version: u64,
    pub roster: Option<Roster>,
    pub down: bool,
    pub lose_replies: bool,
    pub read_only: bool,
    /// nodes that can't reach the table
    pub unreachable_from: BTreeSet<usize>,
}

/// Message between two nodes, or between a node and the table.
#[derive(Clone, Debug)]
pub enum Message {
    Heartbeat { from: Member, heartbeat: Heartbeat },
    Reply { heartbeat: Heartbeat },
    Collect { home: Member, roster: Roster },
    Records { from: Member, epoch: u64, records: Vec<Record> },
    Claim { by: Member, claim: Claim },
    Grant { claim: Claim, grant: Grant },
    Read { version: u64, roster: Option<Roster> },
    Failed,
}

/// Messages that are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldMessages {
    Nothing,
    Grants,
    Records,
}

/// Event counts of a run.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub starts: u64,
    pub unknown: u64,
    pub settled: u64,
    pub record_losses: u64,
    pub collects: u64,
    pub heartbeats: u64,
    pub writes: u64,
    pub discarded: u64,
    pub resets: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.starts += other.starts;
        self.unknown += other.unknown;
        self.settled += other.settled;
        self.record_losses += other.record_losses;
        self.collects += other.collects;
        self.heartbeats += other.heartbeats;
        self.writes += other.writes;
        self.discarded += other.discarded;
        self.resets += other.resets;
    }
}

struct InFlight {
    due: u64,
    to: usize,
    message: Message,
}

/// The simulation: nodes, messages in flight, the table, and every start.
pub struct World {
    pub rng: StdRng,
    pub now_ms: u64,
    pub nodes: Vec<Node>,
    pub row: Row,
    pub settings: Settings,
    pub counts: Counts,
    /// longest delay of a message
    pub max_delay_ms: u64,
    /// probability that a message is lost, and that it is duplicated
    pub loss_rate: f64,
    /// pairs that can't reach each other
    pub partitions: BTreeSet<(usize, usize)>,
    /// messages that are held back
    pub held: HeldMessages,
    pub starts: BTreeMap<TaskId, Vec<String>>,
    pub issued: BTreeMap<TaskId, Option<u64>>,
    origin: Instant,
    in_flight: Vec<InFlight>,
    incarnations: u64,
    settled_epoch: u64,
}

impl World {
    pub fn new(seed: u64, settings: Settings) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 1_000_000,
            nodes: Vec::new(),
            row: Row::default(),
            settings,
            counts: Counts::default(),
            max_delay_ms: 5,
            loss_rate: 0.0,
            partitions: BTreeSet::new(),
            held: HeldMessages::Nothing,
            starts: BTreeMap::new(),
            issued: BTreeMap::new(),
            origin: Instant::now(),
            in_flight: Vec::new(),
            incarnations: 0,
            settled_epoch: 0,
        }
    }

    /// Adds an agent, or restarts it under a new incarnation.
    pub fn spawn(&mut self, index: usize) {
        self.incarnations += 1;
        let me = agent(index, self.now_ms * 1000 + self.incarnations);
        let mut node = Node::new(me, self.settings.clone(), self.origin, self.now_ms);
        if index < self.nodes.len() {
            node.clock_rate = self.nodes[index].clock_rate;
            node.clock_offset_ms = self.nodes[index].clock_offset_ms;
            self.in_flight.retain(|f| f.to != index);
            self.nodes[index] = node;
        } else {
            self.nodes.push(node);
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
    }

    /// Begins a planned leave of a node.
    pub fn leave(&mut self, index: usize) {
        let now = self.nodes[index].now(self.now_ms);
        self.nodes[index].leaving = true;
        let effects = self.nodes[index].member.leave(now);
        self.apply_effects(index, effects);
    }

    pub fn freeze(&mut self, index: usize, ms: u64) {
        self.nodes[index].frozen_until = self.now_ms + ms;
    }

    /// Partitions two groups from each other.
    pub fn cut(&mut self, one: &[usize], other: &[usize]) {
        for &i in one {
            self.partitions.extend(other.iter().map(|&j| (i.min(j), i.max(j))));
        }
    }

    /// Partitions a group from the other nodes and from the table.
    pub fn isolate(&mut self, group: &[usize]) {
        let rest: Vec<_> = (0..self.nodes.len()).filter(|i| !group.contains(i)).collect();
        self.cut(group, &rest);
        self.row.unreachable_from.extend(group);
    }

    /// Runs until a roster of just these nodes is settled and every wall clock is
    /// past that time.
    pub fn settle_to(&mut self, group: &[usize], limit_ms: u64) -> bool {
        let end = self.now_ms + limit_ms;
        while self.now_ms < end {
            self.run(STEP_MS);
            let Some(roster) = &self.row.roster else { continue };
            let mut members: Vec<_> = roster.members.iter().map(|m| self.index_of(m)).collect();
            members.sort_unstable();
            let knows = |i: &usize| self.nodes[*i].member.roster() == roster;
            if roster.settled && members == group && group.iter().all(knows) {
                self.run(CLOCK_MARGIN_MS);
                return true;
            }
        }
        false
    }

    /// Offers a key to an executor, and starts what it is granted.
    pub fn submit(&mut self, executor: usize, id: &TaskId) {
        self.offer(executor, id);
        self.run(50);
        self.start_queued(executor);
    }

    /// Advances the simulation.
    pub fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            self.deliver_due();
            for i in 0..self.nodes.len() {
                if self.nodes[i].is_awake(self.now_ms) {
                    let now = self.nodes[i].now(self.now_ms);
                    let effects = self.nodes[i].member.tick(now);
                    self.apply_effects(i, effects);
                }
            }
        }
    }

    /// Runs until every live node is listed in a settled roster.
    pub fn settle(&mut self, limit_ms: u64) -> bool {
        let end = self.now_ms + limit_ms;
        while self.now_ms < end {
            self.run(50);
            if self.is_settled() {
                return true;
            }
        }
        false
    }

    pub fn is_settled(&self) -> bool {
        let Some(roster) = &self.row.roster else { return false };
        let live = || self.nodes.iter().filter(|n| n.is_awake(self.now_ms));
        let knows = |n: &Node| n.member.roster() == roster && n.member.is_listed();
        roster.settled && live().all(knows) && roster.members.len() == live().count()
    }

    pub fn index_of(&self, member: &Member) -> usize {
        let named = |n: &Node| n.member.me().name == member.name;
        self.nodes.iter().position(named).expect("node is known")
    }

    /// A new key with a given home in each of these groups.
    pub fn key(&mut self, homes: &[(&[usize], usize)]) -> TaskId {
        let members = |group: &[usize]| group.iter().map(|i| agent(*i, 0)).collect::<Vec<_>>();
        loop {
            let id = self.new_key();
            let has = |(group, index): &(&[usize], usize)| {
                home(&members(group), &id).is_some_and(|m| m.name == agent(*index, 0).name)
            };
            if homes.iter().all(has) {
                return id;
            }
            self.issued.remove(&id);
        }
    }

    pub fn new_key(&mut self) -> TaskId {
        let id = TaskId::new("coop".into(), format!("k{:x}", self.rng.random::<u64>()).into(), 0);
        self.issued.insert(id.clone(), Some(self.now_ms));
        id
    }

    /// Offers a key to an executor, which requests the claim from the home.
    pub fn offer(&mut self, executor: usize, id: &TaskId) {
        let at = self.now_ms;
        let issued = self.issued[id];
        let retention = self.settings.retention.as_millis() as u64;
        let first = issued.unwrap_or(at);
        let claim_now = self.nodes[executor].claim_now(at);
        let node = &mut self.nodes[executor];
        if !node.is_awake(at) || at > first + retention {
            return;
        }
        let Some(home) = node.home(id) else { return };
        let others = node.member.roster().executors().len() > 1;
        if others && home.same_incarnation(node.member.me()) {
            return;
        }
        if node.records.stage(id) == Some(&claim::Stage::ClaimRequested) {
            node.records.give_up(id, Release::Free, claim_now);
        }
        if node.records.stage(id).is_some() {
            return;
        }
        let digest = Digest::new("", b"");
        let claim = Claim {
            id: id.clone(),
            digest,
            issued_ms: issued,
            received_ms: at,
            task_count: 1,
            sequence: 0,
        };
        let claim = node.records.begin_claim(claim);
        let by = node.member.me().clone();
        let to = self.index_of(&home);
        self.send(Some(executor), to, Message::Claim { by, claim });
    }

    /// Starts the tasks whose claims this node was granted.
    pub fn start_queued(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.is_awake(self.now_ms) {
            return;
        }
        let mut started = std::mem::take(&mut node.old_queue);
        for id in std::mem::take(&mut node.queue) {
            if node.records.stage(&id) == Some(&claim::Stage::Queued) {
                node.records.start(&id);
                started.push(id);
            }
        }
        for id in started {
            self.counts.starts += 1;
            let by = format!("{} at {}", self.nodes[index].member.me().name, self.now_ms);
            self.starts.entry(id).or_default().push(by);
        }
    }

    /// Keys that started more than once.
    pub fn double_starts(&self) -> Vec<(&TaskId, &Vec<String>)> {
        self.starts.iter().filter(|(_, by)| by.len() > 1).collect()
    }

    pub fn send(&mut self, from: Option<usize>, to: usize, message: Message) {
        let cut = from.is_some_and(|from| self.partitions.contains(&(from.min(to), from.max(to))));
        if cut || self.rng.random_bool(self.loss_rate) {
            return;
        }
        let copies = if self.rng.random_bool(self.loss_rate) { 2 } else { 1 };
        for _ in 0..copies {
            let due = self.now_ms + self.rng.random_range(0..=self.max_delay_ms);
            self.in_flight.push(InFlight { due, to, message: message.clone() });
        }
    }

    fn deliver_due(&mut self) {
        let mut waiting = std::mem::take(&mut self.in_flight);
        while !waiting.is_empty() {
            let i = self.rng.random_range(0..waiting.len());
            let flying = waiting.swap_remove(i);
            if self.is_held(&flying.message)
                || flying.due > self.now_ms
                || (self.nodes[flying.to].alive && !self.nodes[flying.to].is_awake(self.now_ms))
            {
                self.in_flight.push(flying);
            } else if self.nodes[flying.to].alive {
                self.receive(flying.to, flying.message);
            }
        }
    }

    fn is_held(&self, message: &Message) -> bool {
        match self.held {
            HeldMessages::Nothing => false,
            HeldMessages::Grants => matches!(message, Message::Grant { .. }),
            HeldMessages::Records => matches!(message, Message::Records { .. }),
        }
    }

    fn receive(&mut self, i: usize, message: Message) {
        let now = self.nodes[i].now(self.now_ms);
        match message {
            Message::Heartbeat { from, heartbeat } => {
                let (reply, effects) = self.nodes[i].member.on_heartbeat(&heartbeat, now);
                self.apply_effects(i, effects);
                let to = self.index_of(&from);
                self.send(Some(i), to, Message::Reply { heartbeat: reply });
            }
            Message::Reply { heartbeat } => {
                let effects = self.nodes[i].member.on_heartbeat_reply(&heartbeat, now);
                self.apply_effects(i, effects);
            }
            Message::Collect { home, roster } => self.hand_over(i, &home, &roster),
            Message::Records { from, epoch, records } => {
                if self.nodes[i].member.roster().epoch != epoch {
                    return;
                }
                self.adopt(i, records, epoch);
                let effects = self.nodes[i].member.on_collected(&from, epoch, now);
                self.apply_effects(i, effects);
            }
            Message::Claim { by, claim } => self.claim(i, &by, claim),
            Message::Grant { claim, grant } => self.on_grant(i, &claim, &grant),
            Message::Read { version, roster } => {
                let effects = self.nodes[i].member.on_row_read(version, roster, now);
                self.apply_effects(i, effects);
            }
            Message::Failed => self.nodes[i].member.on_row_failed(now),
        }
    }

    fn apply_effects(&mut self, i: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendHeartbeat { to, heartbeat } => {
                    self.counts.heartbeats += 1;
                    let from = self.nodes[i].member.me().clone();
                    let to = self.index_of(&to);
                    self.send(Some(i), to, Message::Heartbeat { from, heartbeat: *heartbeat });
                }
                Effect::ReadRow => self.read(i),
                Effect::WriteRow { expected, roster } => self.write(i, expected, *roster),
                Effect::CollectRecords { from, roster } => {
                    self.counts.collects += 1;
                    let home = self.nodes[i].member.me().clone();
                    let to = self.index_of(&from);
                    self.send(Some(i), to, Message::Collect { home, roster: *roster });
                }
                Effect::CollectOwnRecords { roster } => self.collect_own(i, &roster),
                Effect::DropMovedClaims => {
                    let node = &mut self.nodes[i];
                    node.table.drop_moved(|id| node.member.tenure_start(id));
                }
                Effect::Reset => self.reset(i),
            }
        }
    }

    fn reset(&mut self, i: usize) {
        self.counts.resets += 1;
        let holder = self.nodes[i].holder();
        let node = &mut self.nodes[i];
        node.table.drop_moved(|_| None);
        node.records.begin_incarnation(holder);
        let queue = std::mem::take(&mut node.queue);
        node.old_queue.extend(queue);
    }

    fn read(&mut self, i: usize) {
        let message = if self.row.down || self.row.unreachable_from.contains(&i) {
            Message::Failed
        } else {
            Message::Read { version: self.row.version, roster: self.row.roster.clone() }
        };
        self.send_reliably(i, message);
    }

    fn write(&mut self, i: usize, expected: u64, roster: Roster) {
        self.counts.writes += 1;
        if self.row.down || self.row.read_only || self.row.unreachable_from.contains(&i) {
            return self.send_reliably(i, Message::Failed);
        }
        if self.row.version != expected {
            return self.read(i);
        }
        self.count_change(&roster);
        self.row.version += 1;
        self.row.roster = Some(roster);
        if self.row.lose_replies && self.rng.random_bool(0.5) {
            return self.send_reliably(i, Message::Failed);
        }
        self.read(i);
    }

    fn count_change(&mut self, roster: &Roster) {
        if roster.settled && roster.epoch > self.settled_epoch {
            self.settled_epoch = roster.epoch;
            self.counts.settled += 1;
            let has_loss = roster.record_losses.iter().any(|m| m.epoch == roster.epoch);
            self.counts.record_losses += u64::from(has_loss);
        }
    }

    /// Sends a message that is never lost: the table's client always reports an
    /// outcome, if late.
    fn send_reliably(&mut self, to: usize, message: Message) {
        let due = self.now_ms + self.rng.random_range(0..=4 * self.max_delay_ms);
        self.in_flight.push(InFlight { due, to, message });
    }

    fn hand_over(&mut self, i: usize, home: &Member, roster: &Roster) {
        let now = self.nodes[i].now(self.now_ms);
        let (handover, effects) = self.nodes[i].member.on_collect(home, roster, now);
        self.apply_effects(i, effects);
        if handover == Handover::Refuse {
            return;
        }
        let keeps_pending = self.settings.disabled == Some(Rule::DiscardPending);
        let node = &mut self.nodes[i];
        let moved = |id: &TaskId| roster.moves_key(id, home);
        let moved_ids: Vec<_> = self.issued.keys().filter(|id| moved(id)).cloned().collect();
        let mut records = if keeps_pending {
            // without the rule, pending claim requests are kept
            let has = |id: &TaskId| node.records.stage(id) != Some(&claim::Stage::ClaimRequested);
            let moved: BTreeSet<_> = moved_ids.iter().filter(|id| has(id)).cloned().collect();
            node.records.hand_over(|id| moved.contains(id))
        } else {
            node.records.hand_over(moved)
        };
        records.extend(node.table.hand_over(|id, epoch| {
            roster.moves_key(id, home) && node.member.is_valid_grant(id, epoch)
        }));
        let from = node.member.me().clone();
        let to = self.index_of(home);
        let epoch = roster.epoch;
        self.send(Some(i), to, Message::Records { from, epoch, records });
    }

    fn collect_own(&mut self, i: usize, roster: &Roster) {
        let node = &mut self.nodes[i];
        let me = node.member.me().clone();
        let records = node.records.hand_over(|id| roster.moves_key(id, &me));
        if self.settings.disabled != Some(Rule::OwnRecords) {
            self.adopt(i, records, roster.epoch);
        }
        let now = self.nodes[i].now(self.now_ms);
        let effects = self.nodes[i].member.on_collected(&me, roster.epoch, now);
        self.apply_effects(i, effects);
    }

    fn adopt(&mut self, i: usize, records: Vec<Record>, epoch: u64) {
        let now = self.nodes[i].claim_now(self.now_ms);
        for record in records {
            self.nodes[i].table.adopt(record, epoch, now);
        }
    }

    fn claim(&mut self, i: usize, by: &Member, claim: Claim) {
        let now = self.nodes[i].now(self.now_ms);
        let node = &mut self.nodes[i];
        let listed = if self.settings.disabled == Some(Rule::SettledExecutors) {
            node.member.roster().members.clone()
        } else {
            node.member.roster().executors()
        };
        let non_member = !listed.iter().any(|m| m.same_incarnation(by));
        if non_member && self.settings.disabled != Some(Rule::NonMembers) {
            return;
        }
        if listed.len() > 1 && by.same_incarnation(node.member.me()) {
            return;
        }
        let tenure = node.member.tenure(&claim.id, now.at);
        let holder = Holder { name: by.name.clone(), incarnation: by.incarnation };
        let now = node.claim_now(self.now_ms);
        let grant = node.table.claim(tenure, &holder, claim.clone(), now);
        if let Grant::Unknown(_) = grant {
            self.counts.unknown += 1;
        }
        let to = self.index_of(by);
        self.send(Some(i), to, Message::Grant { claim, grant });
    }

    fn on_grant(&mut self, i: usize, claim: &Claim, grant: &Grant) {
        let node = &mut self.nodes[i];
        if *grant != Grant::Granted {
            node.records.on_refused(claim);
            return;
        }
        if node.records.on_granted(claim) {
            node.queue.push(claim.id.clone());
        } else {
            self.counts.discarded += 1;
        }
    }
}

/// Short times, so that a run has many changes.
pub fn settings() -> Settings {
    Settings {
        heartbeat_interval: Duration::from_millis(200),
        lease: Duration::from_millis(1000),
        suspect_after: Duration::from_millis(900),
        poll_interval: Duration::from_millis(400),
        retention: Duration::from_secs(30),
        clock_skew: Duration::from_millis(50),
        drift_per_mille: 10,
        disabled: None,
    }
}
