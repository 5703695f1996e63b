mod handlers;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix::{AsyncContext, Context, ResponseFuture};
use base::{Answer, Event, Outcome, Task, TaskId, invariant};
use claim::{Claim, Grant, Holder, Records, Release, Stage, TaskCheck};
use conf::{AgentSettings, QueuePolicy};
use queue::{Class, ClassQueue, Discipline, Fifo, PopResult, Refused, RunKey, Settings, TaskInfo};
use slab::Slab;
use tokio::sync::oneshot;
use wire::{ClassLoad, Load, Reply};

use super::{
    backend::Backend,
    message::{ClaimAnswer, Drain, ReleaseDone, Response, RunEnded},
    pending::{Call, PendingTasks},
};
use crate::home::{ClaimClient, ClaimServer, Clock, limits};

/// How soon a task that has become too late is told.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const RETRY_AFTER: Duration = Duration::from_millis(200);
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Weight of the newest run in the share of failed runs.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Queues tasks and runs them on the backend server, never more at once than
/// there are slots.
pub struct Runner {
    slots: usize,
    renewal_timeout: Duration,
    backend: Backend,
    server: Option<BackendServer>,
    drain: Drain,
    queue: Box<dyn Discipline<TaskId>>,
    running: Slab<Run>,
    pending: PendingTasks,
    records: Records,
    claim_client: ClaimClient,
    claim_server: Rc<ClaimServer>,
    clock: Clock,
    late_check: LateCheck,
    /// share of the newest runs that failed
    failure_rate: f64,
    /// a call that comes back after this began after the bar
    bar_retry_after: Duration,
}

/// The backend server that announced itself.
struct BackendServer {
    url: String,
    incarnation: u64,
    last_seen: Instant,
}

/// A task on the backend server, and the slot it takes.
struct Run {
    task: Task,
    key: RunKey,
}

/// Whether the queue is looked through for tasks that became too late; an
/// empty queue needs no waking up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LateCheck {
    On,
    Off,
}

/// Whether a task may be placed elsewhere after it was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GiveUp {
    /// its entry offers it to another agent
    Elsewhere,
    /// its callers are told that it did not run
    Final,
}

/// What the runner asks of the claims of this agent.
pub struct Claims {
    pub me: Holder,
    pub claim_client: ClaimClient,
    pub claim_server: Rc<ClaimServer>,
    pub clock: Clock,
}

impl Runner {
    pub fn new(settings: &AgentSettings, claims: Claims) -> Self {
        Self {
            slots: settings.slots as usize,
            renewal_timeout: Duration::from_millis(settings.renew_ms),
            backend: Backend::new(settings.connections, settings.name.clone()),
            server: None,
            drain: Drain::Off,
            queue: discipline(settings),
            running: Slab::new(),
            pending: PendingTasks::default(),
            records: Records::new(claims.me, limits(settings)),
            claim_client: claims.claim_client,
            claim_server: claims.claim_server,
            clock: claims.clock,
            late_check: LateCheck::Off,
            failure_rate: 0.0,
            bar_retry_after: Duration::from_millis(2 * settings.skew_ms),
        }
    }

    fn load(&self) -> Load {
        let now = Instant::now();
        let short = self.queue.class_load(Class::Short, now);
        let long = self.queue.class_load(Class::Long, now);
        Load {
            // what waits for its claim is as good as queued
            queued: (self.pending.len() - self.running.len()) as u32,
            running: self.running.len() as u32,
            slots: self.slots as u32,
            backlog: short.wait,
            mean_run: short.mean_run,
            ready: self.is_ready(),
            short: room(short),
            long: room(long),
            failure_rate: self.failure_rate,
        }
    }

    fn is_ready(&self) -> bool {
        self.drain == Drain::Off && self.server.is_some()
    }

    fn accept(&mut self, task: Task, call: Call, ctx: &mut Context<Self>) {
        if !task.keyed {
            return self.accept_unkeyed(task, call, ctx);
        }
        let reply = match self.records.check(&task.id, task.digest) {
            TaskCheck::New => return self.accept_new(task, call, ctx),
            TaskCheck::Waiting => return self.attach(&task.id, call),
            TaskCheck::Over(answer) => Reply::Answer(answer.clone()),
            TaskCheck::GivenUp => declined("agent gave the task up a moment ago", RETRY_AFTER),
            TaskCheck::Conflict => Reply::Conflict,
        };
        call.answer(reply, self.load());
    }

    fn accept_unkeyed(&mut self, task: Task, call: Call, ctx: &mut Context<Self>) {
        if !self.is_ready() {
            let answer = Answer::not_run("agent takes no new work", RETRY_AFTER);
            return call.answer(Reply::Answer(answer), self.load());
        }
        let id = task.id.clone();
        self.pending.insert(task, call);
        self.enqueue(&id, ctx);
    }

    fn accept_new(&mut self, task: Task, call: Call, ctx: &mut Context<Self>) {
        if let Some(reply) = self.refusal(&task) {
            return call.answer(reply, self.load());
        }
        let claim = self.records.begin_claim(Claim {
            id: task.id.clone(),
            digest: task.digest,
            issued_ms: task.issued_ms,
            received_ms: task.received_ms,
            task_count: task.task_count,
            sequence: 0,
        });
        self.pending.insert(task, call);
        let (claimer, runner) = (self.claim_client.clone(), ctx.address());
        actix::spawn(async move {
            let grant = claimer.request(claim.clone()).await;
            runner.do_send(ClaimAnswer { claim, grant });
        });
    }

    /// Why a new task is not taken, before its claim is asked for.
    fn refusal(&self, task: &Task) -> Option<Reply> {
        if !self.is_ready() {
            return Some(declined("agent takes no new work", RETRY_AFTER));
        }
        if self.records.is_full() {
            return Some(declined("agent has no room for another record", FULL_RETRY_AFTER));
        }
        let now = Instant::now();
        let wait = self.queue.class_load(Class::Short, now).wait;
        (now + wait >= task.deadline).then(|| declined("agent can't end it in time", wait))
    }

    fn attach(&mut self, id: &TaskId, call: Call) {
        let load = self.load();
        if let Err(call) = self.pending.attach(id, call) {
            invariant!(false, "{id} has a record and no place");
            call.answer(Reply::Answer(Answer::unknown("agent lost the task")), load);
        }
    }

    /// Acts on the home's word.
    fn on_claim_answer(&mut self, claim: &Claim, grant: Option<Grant>, ctx: &mut Context<Self>) {
        let id = &claim.id;
        let granted = grant == Some(Grant::Granted);
        if granted && self.records.on_granted(claim) {
            return self.enqueue(id, ctx);
        }
        // no word may be a grant that was lost
        if granted || grant.is_none() {
            self.release(claim.clone(), Release::Free, ctx);
        }
        // a newer claim of the task is on its way
        if !self.records.on_refused(claim) && self.records.stage(id).is_some() {
            return;
        }
        let load = self.load();
        if grant == Some(Grant::Barred) {
            // the home's word is on the call that asked, and those before it
            let reply = declined("an earlier call was refused", RETRY_AFTER);
            self.pending.answer_newer(id, claim.received_ms, &reply, load);
        }
        self.pending.answer(id, &refusal_of_grant(grant, self.bar_retry_after), load);
    }

    /// Queues a task that may start now.
    fn enqueue(&mut self, id: &TaskId, ctx: &mut Context<Self>) {
        let Some(task) = self.pending.task(id) else { return };
        if self.server.is_none() {
            return self.give_up(id, GiveUp::Elsewhere, "backend server is gone", RETRY_AFTER, ctx);
        }
        let ask = TaskInfo { operation: task.operation, deadline: task.deadline };
        match self.queue.push(ask, id.clone(), Instant::now()) {
            Ok(ticket) => self.pending.on_queued(id, ticket),
            Err(Refused { retry_after, .. }) => {
                let reason = "agent can't end it in time";
                return self.give_up(id, GiveUp::Elsewhere, reason, retry_after, ctx);
            }
        }
        self.start_queued(ctx);
        if self.late_check == LateCheck::Off {
            self.schedule_late_check(ctx);
        }
    }

    /// Looks for tasks that became too late for as long as any is queued.
    fn schedule_late_check(&mut self, ctx: &mut Context<Self>) {
        if self.queue.queued() == 0 {
            self.late_check = LateCheck::Off;
            return;
        }
        self.late_check = LateCheck::On;
        ctx.run_later(LATE_CHECK_INTERVAL, |runner, ctx| {
            runner.start_queued(ctx);
            runner.schedule_late_check(ctx);
        });
    }

    /// Starts queued tasks while slots are free, and tells those too late.
    fn start_queued(&mut self, ctx: &mut Context<Self>) {
        while let Some(server) = &self.server {
            let url = server.url.clone();
            match self.queue.pop(Instant::now()) {
                PopResult::Start(start) => self.start_run(url, &start.item, start.run, ctx),
                PopResult::Late(id) => self.on_late(&id, ctx),
                PopResult::Idle => return,
            }
        }
    }

    fn start_run(&mut self, url: String, id: &TaskId, key: RunKey, ctx: &mut Context<Self>) {
        let Some(task) = self.pending.task(id) else {
            invariant!(false, "{id} is queued and has no place");
            return self.queue.end(key, None);
        };
        self.pending.on_dequeued(id);
        if task.keyed {
            self.records.start(id);
        }
        let slot = self.running.insert(Run { task: task.clone(), key });
        invariant!(self.running.len() <= self.slots, "{} tasks run at once", self.running.len());
        let run = self.backend.clone().run(url, task);
        let runner = ctx.address();
        actix::spawn(async move {
            let answer = run.await;
            runner.do_send(RunEnded { slot, answer });
        });
    }

    /// A queued task can't end by its deadline any more; a later call may
    /// have given it more time.
    fn on_late(&mut self, id: &TaskId, ctx: &mut Context<Self>) {
        let more = self.pending.has_more_time(id);
        self.pending.on_dequeued(id);
        if more {
            return self.enqueue(id, ctx);
        }
        let reason = "deadline too close in the queue";
        self.give_up(id, GiveUp::Final, reason, self.bar_retry_after, ctx);
    }

    /// Tells all calls of a task that it was not started here.
    fn give_up(
        &mut self,
        id: &TaskId,
        how: GiveUp,
        reason: &str,
        retry_after: Duration,
        ctx: &mut Context<Self>,
    ) {
        let release = match how {
            GiveUp::Elsewhere => Release::Free,
            GiveUp::Final => Release::Bar,
        };
        let keyed = self.pending.task(id).is_some_and(|task| task.keyed);
        let claim = self.records.give_up(id, release, self.clock.now());
        let held = claim.is_some();
        if let Some(claim) = claim {
            self.release(claim, release, ctx);
        }
        let certain = !keyed || (held && how == GiveUp::Final);
        let answer = Answer::not_run(reason, retry_after);
        let reply = if certain { Reply::Answer(answer) } else { Reply::Declined(answer) };
        self.pending.answer(id, &reply, self.load());
    }

    fn release(&self, claim: Claim, release: Release, ctx: &mut Context<Self>) {
        let (claimer, runner) = (self.claim_client.clone(), ctx.address());
        actix::spawn(async move {
            claimer.release(&claim, release).await;
            runner.do_send(ReleaseDone(claim));
        });
    }

    fn finish(&mut self, task: &Task, answer: Answer, ctx: &mut Context<Self>) {
        let id = &task.id;
        if !task.keyed {
            return self.pending.answer(id, &Reply::Answer(answer), self.load());
        }
        if answer.outcome == Outcome::NotRun {
            if let Some(claim) = self.records.on_send_failed(id, self.clock.now()) {
                self.release(claim, Release::Free, ctx);
            }
            return self.pending.answer(id, &Reply::Declined(answer), self.load());
        }
        self.records.end(id, answer.clone(), self.clock.now());
        self.pending.answer(id, &Reply::Answer(answer), self.load());
    }

    /// Stops a task that has not started.
    fn cancel(&mut self, id: &TaskId, ctx: &mut Context<Self>) -> bool {
        let stage = self.records.stage(id);
        if !matches!(stage, Some(Stage::ClaimRequested | Stage::Queued)) {
            return matches!(stage, Some(Stage::GivenUp { .. }));
        }
        if let Some(ticket) = self.pending.ticket(id) {
            self.queue.remove(ticket);
        }
        self.give_up(id, GiveUp::Final, "cancelled", self.bar_retry_after, ctx);
        true
    }

    fn expire(&mut self) {
        self.records.expire(self.clock.now());
        self.claim_server.expire();
    }

    fn check_renewal(&mut self, ctx: &mut Context<Self>) {
        let Some(server) = &self.server else { return };
        if server.last_seen.elapsed() <= self.renewal_timeout {
            return;
        }
        Event::BackendExpired.log(format_args!("{}", server.url));
        self.server = None;
        self.reject_queue("backend server is gone", ctx);
    }

    fn reject_queue(&mut self, reason: &str, ctx: &mut Context<Self>) {
        for id in self.queue.clear() {
            self.give_up(&id, GiveUp::Elsewhere, reason, RETRY_AFTER, ctx);
        }
    }

    fn response(&self, answer: oneshot::Receiver<Response>) -> ResponseFuture<Response> {
        let reply = Reply::Answer(Answer::unknown("agent dropped the task"));
        let gone = Response { reply, load: self.load() };
        Box::pin(async move { answer.await.unwrap_or(gone) })
    }

    /// Learns from a run; a failure tells nothing of speed.
    fn record_run(&mut self, key: RunKey, answer: &Answer) {
        let done = answer.outcome == Outcome::Done;
        self.queue.end(key, done.then_some(answer.run_time));
        let failed = if done { 0.0 } else { 1.0 };
        self.failure_rate += (failed - self.failure_rate) * FAILURE_RATE_WEIGHT;
    }
}

fn declined(reason: &str, retry_after: Duration) -> Reply {
    Reply::Declined(Answer::not_run(reason, retry_after))
}

/// What the calls of a task are told when its claim was not granted.
fn refusal_of_grant(grant: Option<Grant>, bar_retry: Duration) -> Reply {
    match grant {
        Some(Grant::Held(holder)) => Reply::Held(holder),
        Some(Grant::Conflict) => Reply::Conflict,
        Some(Grant::Barred) => {
            Reply::Answer(Answer::not_run("the key was refused a moment ago", bar_retry))
        }
        Some(Grant::Unknown(why)) => Reply::Answer(Answer::unknown(&why)),
        Some(Grant::Full) => declined("home has no room for another claim", FULL_RETRY_AFTER),
        Some(Grant::Granted) => declined("the grant came too late", RETRY_AFTER),
        Some(Grant::Free | Grant::NotHome { .. }) | None => {
            Reply::Declined(Answer::unknown("the home of the key can't be asked"))
        }
    }
}

fn discipline(settings: &AgentSettings) -> Box<dyn Discipline<TaskId>> {
    let slots = settings.slots as usize;
    let queue = Settings { slots, ..Settings::default() };
    match settings.queue {
        QueuePolicy::Classes => Box::new(ClassQueue::new(queue)),
        QueuePolicy::Fifo => Box::new(Fifo::new(queue)),
    }
}

fn room(room: queue::ClassLoad) -> ClassLoad {
    ClassLoad { free_slots: room.free_slots, wait: room.wait, mean_run: room.mean_run }
}
