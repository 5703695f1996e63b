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

/// How often queued tasks are checked for deadlines that can't be met any more.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Usual delay until a declined task should be sent again.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// The same when there is no room for a record or claim, which lasts until older
/// ones expire.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Weight of the latest run in the moving average of failed runs.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Queues tasks and runs them on the backend server, at most one in each slot.
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
    /// moving average of failed runs
    failure_rate: f64,
    /// delay after which a retry counts as received after the bar, whatever the
    /// clock skew
    bar_retry_after: Duration,
}

struct BackendServer {
    url: String,
    incarnation: u64,
    last_seen: Instant,
}

/// Task that runs on the backend server, in one slot.
struct Run {
    task: Task,
    key: RunKey,
}

/// Whether queued tasks are checked for lateness; off while the queue is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LateCheck {
    On,
    Off,
}

/// What happens to a task that this agent gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GiveUp {
    /// its entry may offer it to another agent
    Elsewhere,
    /// its callers get the outcome `not-run`
    Final,
}

/// What the runner needs to request and release claims.
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
            queue: new_queue(settings),
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
            // tasks that wait for their claim count as queued
            queued: (self.pending.len() - self.running.len()) as u32,
            running: self.running.len() as u32,
            slots: self.slots as u32,
            backlog: short.wait,
            mean_run: short.mean_run,
            ready: self.is_ready(),
            short: class_load(short),
            long: class_load(long),
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
        let (claim_client, runner) = (self.claim_client.clone(), ctx.address());
        actix::spawn(async move {
            let grant = claim_client.request(claim.clone()).await;
            runner.do_send(ClaimAnswer { claim, grant });
        });
    }

    /// Refusal of a new task before its claim is requested, if there is a reason.
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

    /// Handles the home's answer to a claim request.
    fn on_claim_answer(&mut self, claim: &Claim, grant: Option<Grant>, ctx: &mut Context<Self>) {
        let id = &claim.id;
        let granted = grant == Some(Grant::Granted);
        if granted && self.records.on_granted(claim) {
            return self.enqueue(id, ctx);
        }
        // without an answer the home may have granted the claim and its answer be lost
        if granted || grant.is_none() {
            self.release(claim.clone(), Release::Free, ctx);
        }
        // if a newer claim of the task is pending, its answer decides
        if !self.records.on_refused(claim) && self.records.stage(id).is_some() {
            return;
        }
        let load = self.load();
        if grant == Some(Grant::Barred) {
            // the bar applies only to the call of this claim and to earlier ones
            let reply = declined("an earlier call was refused", RETRY_AFTER);
            self.pending.answer_newer(id, claim.received_ms, &reply, load);
        }
        self.pending.answer(id, &reply_to_refusal(grant, self.bar_retry_after), load);
    }

    /// Queues a task that is allowed to start.
    fn enqueue(&mut self, id: &TaskId, ctx: &mut Context<Self>) {
        let Some(task) = self.pending.task(id) else { return };
        if self.server.is_none() {
            return self.give_up(id, GiveUp::Elsewhere, "backend server is gone", RETRY_AFTER, ctx);
        }
        let info = TaskInfo { operation: task.operation, deadline: task.deadline };
        match self.queue.push(info, id.clone(), Instant::now()) {
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

    /// Checks for late tasks at intervals while any task is queued.
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

    /// Starts queued tasks while slots are free, and gives up late ones.
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
            invariant!(false, "{id} is queued and not pending");
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

    /// Handles a queued task that can't end by its deadline any more. It is queued
    /// again if a later call has extended the deadline.
    fn on_late(&mut self, id: &TaskId, ctx: &mut Context<Self>) {
        let has_more_time = self.pending.has_more_time(id);
        self.pending.on_dequeued(id);
        if has_more_time {
            return self.enqueue(id, ctx);
        }
        let reason = "deadline too close in the queue";
        self.give_up(id, GiveUp::Final, reason, self.bar_retry_after, ctx);
    }

    /// Gives up a task before its start: releases its claim and answers its calls.
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
        // only a barred key, or a task without one, can't start elsewhere any more
        let is_final = !keyed || (held && how == GiveUp::Final);
        let answer = Answer::not_run(reason, retry_after);
        let reply = if is_final { Reply::Answer(answer) } else { Reply::Declined(answer) };
        self.pending.answer(id, &reply, self.load());
    }

    fn release(&self, claim: Claim, release: Release, ctx: &mut Context<Self>) {
        let (claim_client, runner) = (self.claim_client.clone(), ctx.address());
        actix::spawn(async move {
            claim_client.release(&claim, release).await;
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

    /// Cancels a task that has not started; returns whether it won't start.
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

    /// Response of a call, once its task is answered.
    fn response(&self, answer: oneshot::Receiver<Response>) -> ResponseFuture<Response> {
        let reply = Reply::Answer(Answer::unknown("agent dropped the task"));
        let fallback = Response { reply, load: self.load() };
        Box::pin(async move { answer.await.unwrap_or(fallback) })
    }

    /// Updates run times and failure rate; failed runs don't count for run times.
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

/// Reply to the calls of a task whose claim was not granted.
fn reply_to_refusal(grant: Option<Grant>, bar_retry_after: Duration) -> Reply {
    match grant {
        Some(Grant::Held(holder)) => Reply::Held(holder),
        Some(Grant::Conflict) => Reply::Conflict,
        Some(Grant::Barred) => {
            Reply::Answer(Answer::not_run("the key was refused a moment ago", bar_retry_after))
        }
        Some(Grant::Unknown(reason)) => Reply::Answer(Answer::unknown(&reason)),
        Some(Grant::Full) => declined("home has no room for another claim", FULL_RETRY_AFTER),
        Some(Grant::Granted) => declined("the grant came too late", RETRY_AFTER),
        Some(Grant::Free | Grant::NotHome { .. }) | None => {
            Reply::Declined(Answer::unknown("the home of the key can't be asked"))
        }
    }
}

fn new_queue(settings: &AgentSettings) -> Box<dyn Discipline<TaskId>> {
    let slots = settings.slots as usize;
    let queue_settings = Settings { slots, ..Settings::default() };
    match settings.queue {
        QueuePolicy::Classes => Box::new(ClassQueue::new(queue_settings)),
        QueuePolicy::Fifo => Box::new(Fifo::new(queue_settings)),
    }
}

fn class_load(load: queue::ClassLoad) -> ClassLoad {
    ClassLoad { free_slots: load.free_slots, wait: load.wait, mean_run: load.mean_run }
}
