//! Random schedules of calls, executors and a home, with messages that are
//! delayed, duplicated, lost and reordered. `EGRET_RUNS=n` sets the number of
//! schedules, `EGRET_SEED=n` the seed of the first one.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use base::{Answer, Digest, Outcome, TaskId};
use claim::{
    Call, CallEvent, CallStep, Claim, Grant, Holder, Limits, Now, Records, Release, Stage, Table,
    TaskCheck, Tenure,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const RUNS: u64 = 3000;
const STEPS: usize = 400;
const EXECUTORS: usize = 3;
const KEYS: u64 = 3;
const MAX_OFFERS: u32 = 4;
const SKEW_MS: u64 = 20;

#[derive(Clone)]
enum Message {
    Offer { call: usize, step: u32, to: Holder },
    Attach { call: usize, step: u32, to: Holder },
    Reply { call: usize, step: u32, event: CallEvent },
    Claim { by: Holder, claim: Claim },
    Grant { to: Holder, claim: Claim, grant: Grant },
    Release { by: Holder, claim: Claim, release: Release },
    Released { to: Holder, claim: Claim },
    LookUp { call: usize, step: u32 },
    Bar { call: usize, step: u32 },
}

struct Executor {
    me: Holder,
    records: Records,
    queue: Vec<(TaskId, usize)>,
    running: Vec<TaskId>,
    waiting: Vec<(TaskId, usize, u32)>,
    frozen: bool,
}

struct Caller {
    id: TaskId,
    digest: Digest,
    sent_at: u64,
    received_ms: u64,
    call: Call,
    step: u32,
    offers: u32,
    answer: Option<Answer>,
}

struct Model {
    rng: StdRng,
    wall_ms: u64,
    table: Table,
    since: u64,
    unknown_before: Option<u64>,
    barred_before: Option<u64>,
    executors: Vec<Executor>,
    callers: Vec<Caller>,
    in_flight: Vec<Message>,
    /// when a key was first used; absent for keys without an issue time
    issued: HashMap<TaskId, u64>,
    starts: HashMap<TaskId, Vec<(usize, u64)>>,
    incarnations: u64,
    has_lost_executor: bool,
    home_moves: bool,
    outcomes: HashSet<&'static str>,
}

fn executor(index: usize, incarnation: u64) -> Executor {
    let me = Holder { name: format!("agent-{index}").into(), incarnation };
    let records = Records::new(me.clone(), limits());
    let (queue, running, waiting) = (Vec::new(), Vec::new(), Vec::new());
    Executor { me, records, queue, running, waiting, frozen: false }
}

fn limits() -> Limits {
    Limits { clock_skew: Duration::from_millis(SKEW_MS), ..Limits::default() }
}

fn refusal() -> Answer {
    Answer::not_run("refused", Duration::from_secs(1))
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let moves = rng.random_bool(0.5);
        Self {
            rng,
            wall_ms: 1_000_000,
            table: Table::new(limits()),
            since: 1,
            unknown_before: None,
            barred_before: None,
            executors: (0..EXECUTORS).map(|i| executor(i, i as u64)).collect(),
            callers: Vec::new(),
            in_flight: Vec::new(),
            issued: HashMap::new(),
            starts: HashMap::new(),
            incarnations: EXECUTORS as u64,
            has_lost_executor: false,
            home_moves: moves,
            outcomes: HashSet::new(),
        }
    }

    fn run(mut self) -> HashSet<&'static str> {
        for _ in 0..STEPS {
            self.wall_ms += self.rng.random_range(0..3);
            match self.rng.random_range(0..100) {
                0..60 => self.deliver(),
                60..66 => self.begin_call(),
                66..76 => self.start_task(),
                76..82 => self.end_task(),
                82..86 => self.give_up(),
                86..90 => self.time_out_call(),
                90..92 => self.time_out_claim(),
                92..95 => self.freeze(),
                95..96 => self.kill(),
                96..97 if self.home_moves => self.change_home(),
                97..98 => self.close_call(),
                _ => {}
            }
        }
        self.check();
        self.outcomes
    }

    fn now(&self) -> Now {
        Now { uptime: Duration::from_millis(self.wall_ms), wall_ms: self.wall_ms }
    }

    fn tenure(&self) -> Tenure {
        Tenure::Home {
            epoch: self.since,
            since: self.since,
            unknown_before: self.unknown_before,
            barred_before: self.barred_before,
        }
    }

    fn claim_of(&self, call: usize) -> Claim {
        let caller = &self.callers[call];
        let (id, digest, received_ms) = (caller.id.clone(), caller.digest, caller.received_ms);
        let issued = self.issued.get(&id).copied();
        Claim { id, digest, issued_ms: issued, received_ms, task_count: 1, sequence: 0 }
    }

    fn begin_call(&mut self) {
        let key = self.rng.random_range(0..KEYS);
        let id = TaskId::new("coop".into(), format!("k{key}").into(), 0);
        if key > 0 {
            self.issued.entry(id.clone()).or_insert(self.wall_ms);
        }
        // sometimes a key is reused with another body
        let body = 1 + u128::from(self.rng.random_bool(0.02));
        self.callers.push(Caller {
            id,
            digest: Digest(body),
            sent_at: self.wall_ms,
            // clock skew between entries
            received_ms: self.wall_ms + self.rng.random_range(0..SKEW_MS),
            call: Call::new(refusal()),
            step: 0,
            offers: 0,
            answer: None,
        });
        self.do_step(self.callers.len() - 1, CallStep::Offer);
    }

    fn do_step(&mut self, call: usize, step: CallStep) {
        let caller = &mut self.callers[call];
        caller.step += 1;
        let number = caller.step;
        match step {
            CallStep::Offer if caller.offers == MAX_OFFERS => {
                self.on_event(call, CallEvent::NoAgent(refusal()));
            }
            CallStep::Offer => {
                caller.offers += 1;
                let to = self.rng.random_range(0..EXECUTORS);
                let to = self.executors[to].me.clone();
                self.in_flight.push(Message::Offer { call, step: number, to });
            }
            CallStep::Attach(to) => self.in_flight.push(Message::Attach { call, step: number, to }),
            CallStep::LookUp => self.in_flight.push(Message::LookUp { call, step: number }),
            CallStep::Bar => self.in_flight.push(Message::Bar { call, step: number }),
            CallStep::Answer(answer) => self.set_answer(call, answer),
            CallStep::Conflict => self.callers[call].answer = Some(Answer::unknown("conflict")),
        }
    }

    fn on_event(&mut self, call: usize, on_event: CallEvent) {
        let step = self.callers[call].call.next(on_event);
        self.do_step(call, step);
    }

    fn set_answer(&mut self, call: usize, answer: Answer) {
        self.outcomes.insert(answer.outcome.as_str());
        self.callers[call].answer = Some(answer);
    }

    fn deliver(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.in_flight.len());
        match self.rng.random_range(0..100) {
            0..4 => {
                self.in_flight.swap_remove(at);
            }
            4..10 => self.receive(self.in_flight[at].clone()),
            _ => {
                let message = self.in_flight.swap_remove(at);
                self.receive(message);
            }
        }
    }

    /// The executor of this incarnation, unless it is gone. The message to a
    /// frozen one is put back.
    fn index_of(&mut self, to: &Holder, message: &Message) -> Option<usize> {
        let at = self.executors.iter().position(|e| e.me == *to)?;
        if self.executors[at].frozen {
            self.in_flight.push(message.clone());
            return None;
        }
        Some(at)
    }

    fn receive(&mut self, message: Message) {
        match message.clone() {
            Message::Offer { call, step, to } => {
                if let Some(at) = self.index_of(&to, &message) {
                    self.on_offer(at, call, step);
                }
            }
            Message::Attach { call, step, to } => {
                let Some(at) = self.index_of(&to, &message) else {
                    if !self.executors.iter().any(|e| e.me == to) {
                        self.reply(call, step, CallEvent::HolderLost(to));
                    }
                    return;
                };
                self.on_attach(at, call, step);
            }
            Message::Reply { call, step, event } => {
                let caller = &self.callers[call];
                if caller.step == step && caller.answer.is_none() {
                    self.on_event(call, event);
                }
            }
            Message::Claim { by, claim } => {
                let (tenure, now) = (self.tenure(), self.now());
                let grant = self.table.claim(tenure, &by, claim.clone(), now);
                self.in_flight.push(Message::Grant { to: by, claim, grant });
            }
            Message::Grant { to, claim, grant } => {
                if let Some(at) = self.index_of(&to, &message) {
                    self.on_grant(at, &claim, grant);
                }
            }
            Message::Release { by, claim, release } => {
                let (tenure, now) = (self.tenure(), self.now());
                self.table.release(tenure, &by, &claim, release, now);
                self.in_flight.push(Message::Released { to: by, claim });
            }
            Message::Released { to, claim } => {
                if let Some(at) = self.index_of(&to, &message) {
                    self.executors[at].records.on_released(&claim);
                }
            }
            Message::LookUp { call, step } => {
                let (claim, now) = (self.claim_of(call), self.now());
                let found = self.table.look_up(self.tenure(), &claim, now);
                self.reply(call, step, CallEvent::LookUpReply(found.grant));
            }
            Message::Bar { call, step } => {
                let (tenure, now) = (self.tenure(), self.now());
                let found = self.table.bar(tenure, self.claim_of(call), now);
                self.reply(call, step, CallEvent::BarReply(found.grant));
            }
        }
    }

    fn reply(&mut self, call: usize, step: u32, event: CallEvent) {
        self.in_flight.push(Message::Reply { call, step, event });
    }

    fn on_offer(&mut self, at: usize, call: usize, step: u32) {
        let claim = self.claim_of(call);
        let executor = &mut self.executors[at];
        match executor.records.check(&claim.id, claim.digest) {
            TaskCheck::New => {
                let claim = executor.records.begin_claim(claim);
                executor.waiting.push((claim.id.clone(), call, step));
                executor.queue.push((claim.id.clone(), call));
                let by = executor.me.clone();
                self.in_flight.push(Message::Claim { by, claim });
            }
            TaskCheck::Waiting => executor.waiting.push((claim.id, call, step)),
            TaskCheck::Over(answer) => {
                let event = CallEvent::Answered(answer.clone());
                self.reply(call, step, event);
            }
            TaskCheck::GivenUp => self.reply(call, step, CallEvent::Declined(refusal())),
            TaskCheck::Conflict => self.reply(call, step, CallEvent::Conflict),
        }
    }

    fn on_attach(&mut self, at: usize, call: usize, step: u32) {
        let claim = self.claim_of(call);
        let executor = &mut self.executors[at];
        let event = match executor.records.check(&claim.id, claim.digest) {
            TaskCheck::Waiting => return executor.waiting.push((claim.id, call, step)),
            TaskCheck::Over(answer) => CallEvent::Answered(answer.clone()),
            TaskCheck::New | TaskCheck::GivenUp => CallEvent::Declined(refusal()),
            TaskCheck::Conflict => CallEvent::Conflict,
        };
        self.reply(call, step, event);
    }

    fn on_grant(&mut self, at: usize, claim: &Claim, grant: Grant) {
        let executor = &mut self.executors[at];
        let event = match grant.clone() {
            Grant::Granted => {
                if !executor.records.on_granted(claim)
                    && executor.records.stage(&claim.id).is_none()
                {
                    self.release(at, claim.clone(), Release::Free);
                }
                return;
            }
            Grant::Held(holder) => CallEvent::Held(holder),
            Grant::Conflict => CallEvent::Conflict,
            Grant::Barred => CallEvent::Answered(refusal()),
            Grant::Unknown(why) => CallEvent::Answered(Answer::unknown(&why)),
            _ => CallEvent::Declined(refusal()),
        };
        let barred = grant == Grant::Barred;
        if !executor.records.on_refused(claim) {
            return;
        }
        if barred {
            // the bar covers the call that requested the claim and those before it
            let later = |(id, call, _): &(TaskId, usize, u32)| {
                *id == claim.id && self.callers[*call].received_ms > claim.received_ms
            };
            let later: Vec<_> = executor.waiting.extract_if(.., |w| later(w)).collect();
            for (_, call, step) in later {
                self.reply(call, step, CallEvent::Declined(refusal()));
            }
        }
        self.drop_task(at, &claim.id, event);
    }

    fn release(&mut self, at: usize, claim: Claim, release: Release) {
        let by = self.executors[at].me.clone();
        self.in_flight.push(Message::Release { by, claim, release });
    }

    /// Replies to all calls that wait for a task and removes it from the queue.
    fn drop_task(&mut self, at: usize, id: &TaskId, event: CallEvent) {
        let executor = &mut self.executors[at];
        executor.queue.retain(|(queued, _)| queued != id);
        let waiting = std::mem::take(&mut executor.waiting);
        let (answered, kept) = waiting.into_iter().partition(|(waiting, ..)| waiting == id);
        executor.waiting = kept;
        let answered: Vec<_> = answered;
        for (_, call, step) in answered {
            self.reply(call, step, event.clone());
        }
    }

    fn random_awake(&mut self) -> Option<usize> {
        let at = self.rng.random_range(0..EXECUTORS);
        (!self.executors[at].frozen).then_some(at)
    }

    fn start_task(&mut self) {
        let Some(at) = self.random_awake() else { return };
        let executor = &mut self.executors[at];
        let queued = |(id, _): &(TaskId, usize)| executor.records.stage(id) == Some(&Stage::Queued);
        let Some(position) = executor.queue.iter().position(queued) else { return };
        let (id, call) = executor.queue.remove(position);
        executor.records.start(&id);
        executor.running.push(id.clone());
        let starts = self.starts.entry(id.clone()).or_default();
        starts.push((call, self.wall_ms));
        assert_eq!(starts.len(), 1, "{id} started twice");
    }

    fn end_task(&mut self) {
        let Some(at) = self.random_awake() else { return };
        let now = self.now();
        let Some(id) = self.executors[at].running.pop() else { return };
        let answer = Answer::done("{}".into(), Duration::ZERO, "a".into());
        self.executors[at].records.end(&id, answer.clone(), now);
        self.drop_task(at, &id, CallEvent::Answered(answer));
    }

    /// Gives up a queued task, because it expired or is to be placed elsewhere.
    fn give_up(&mut self) {
        let Some(at) = self.random_awake() else { return };
        let Some((id, _)) = self.executors[at].queue.first().cloned() else { return };
        let now = self.now();
        let (release, event) = match self.rng.random_bool(0.5) {
            true => (Release::Bar, CallEvent::Answered(refusal())),
            false => (Release::Free, CallEvent::Declined(refusal())),
        };
        let claim = self.executors[at].records.give_up(&id, release, now);
        let event = if claim.is_some() { event } else { CallEvent::Declined(refusal()) };
        if let Some(claim) = claim {
            self.release(at, claim, release);
        }
        self.drop_task(at, &id, event);
    }

    fn random_open_call(&mut self) -> Option<usize> {
        let open: Vec<_> =
            (0..self.callers.len()).filter(|c| self.callers[*c].answer.is_none()).collect();
        (!open.is_empty()).then(|| open[self.rng.random_range(0..open.len())])
    }

    fn time_out_call(&mut self) {
        if let Some(call) = self.random_open_call() {
            self.on_event(call, CallEvent::NoReply);
        }
    }

    /// Ends a call whose deadline is near.
    fn close_call(&mut self) {
        if let Some(call) = self.random_open_call() {
            let event = if self.rng.random_bool(0.5) {
                CallEvent::NoAgent(refusal())
            } else {
                CallEvent::HomeUnreachable
            };
            self.on_event(call, event);
        }
    }

    fn time_out_claim(&mut self) {
        let Some(at) = self.random_awake() else { return };
        let now = self.now();
        let executor = &mut self.executors[at];
        let is_requested =
            |(id, _): &&(TaskId, usize)| executor.records.stage(id) == Some(&Stage::ClaimRequested);
        let Some((id, _)) = executor.queue.iter().find(is_requested).cloned() else { return };
        executor.records.give_up(&id, Release::Free, now);
        self.drop_task(at, &id, CallEvent::Declined(refusal()));
    }

    fn freeze(&mut self) {
        let at = self.rng.random_range(0..EXECUTORS);
        self.executors[at].frozen ^= true;
    }

    fn kill(&mut self) {
        let at = self.rng.random_range(0..EXECUTORS);
        self.executors[at] = executor(at, self.incarnations);
        self.incarnations += 1;
        self.has_lost_executor = true;
    }

    /// Replaces the home; the new one collects the records of every live executor.
    fn change_home(&mut self) {
        let now = self.now();
        self.since += 1;
        let table = std::mem::replace(&mut self.table, Table::new(limits()));
        self.in_flight.retain(|m| !matches!(m, Message::Claim { .. }));
        // the home leaves as planned and hands over its table, or is lost
        if self.rng.random_bool(0.5) {
            table
                .hand_over(|_, _| true)
                .into_iter()
                .for_each(|r| self.table.adopt(r, self.since, now));
        } else {
            self.barred_before = Some(self.wall_ms);
            self.unknown_before =
                self.has_lost_executor.then_some(self.wall_ms + SKEW_MS).or(self.unknown_before);
        }
        for at in 0..EXECUTORS {
            let executor = &mut self.executors[at];
            let is_requested = |(id, _): &&(TaskId, usize)| {
                executor.records.stage(id) == Some(&Stage::ClaimRequested)
            };
            let pending: Vec<_> = executor.queue.iter().filter(is_requested).cloned().collect();
            for record in executor.records.hand_over(|_| true) {
                self.table.adopt(record, self.since, now);
            }
            for (id, _) in pending {
                self.drop_task(at, &id, CallEvent::Declined(refusal()));
            }
        }
    }

    /// Checks every `not-run` answer: neither that call nor one sent before it,
    /// beyond the clock skew, ever started the task.
    fn check(&self) {
        for (number, caller) in self.callers.iter().enumerate() {
            let not_run = caller.answer.as_ref().is_some_and(|a| a.outcome == Outcome::NotRun);
            if !not_run {
                continue;
            }
            let starts = self.starts.get(&caller.id).map_or(&[][..], Vec::as_slice);
            for (by, at) in starts {
                assert_ne!(*by, number, "call {number} was answered not-run and started the task");
                let earlier = self.callers[*by].sent_at + 2 * SKEW_MS <= caller.sent_at;
                assert!(
                    !earlier,
                    "call {by} started the task at {at}, call {number} was answered not-run"
                );
            }
        }
    }
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn no_schedule_starts_a_task_twice() {
    let runs = setting("EGRET_RUNS").unwrap_or(RUNS);
    let first = setting("EGRET_SEED").unwrap_or(0);
    let mut outcomes = HashSet::new();
    for seed in first..first + runs {
        let run = std::panic::catch_unwind(|| Model::new(seed).run());
        outcomes.extend(run.unwrap_or_else(|_| panic!("EGRET_SEED={seed} EGRET_RUNS=1 fails")));
    }
    assert!(runs < RUNS || ["done", "not-run", "unknown"].iter().all(|o| outcomes.contains(o)));
}
