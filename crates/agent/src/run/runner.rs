use std::time::{Duration, Instant};

use actix::{Actor, ActorContext, AsyncContext, Context, Handler, MessageResult, ResponseFuture};
use base::{Answer, Event, Outcome, Task, invariant};
use conf::{AgentSettings, QueueKind};
use queue::{Ask, Class, Classed, Discipline, Fifo, Next, Refused, RunKey, Settings};
use slab::Slab;
use tokio::sync::oneshot;
use wire::{Load, Reply, Room};

use super::{
    backend::Backend,
    message::{Announce, Drain, Ended, Inspect, Leave, Offer, Response},
};

const TICK: Duration = Duration::from_millis(100);
/// How soon a task that has become too late is told.
const LATE_TICK: Duration = Duration::from_millis(10);
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Weight of the newest run in the share of failed runs.
const FAILING_WEIGHT: f64 = 0.1;

/// Queues tasks and runs them on the backend server, never more at once than
/// there are slots.
pub struct Runner {
    slots: usize,
    renew: Duration,
    backend: Backend,
    server: Option<Server>,
    drain: Drain,
    queue: Box<dyn Discipline<Pending>>,
    running: Slab<Run>,
    /// share of the newest runs that failed
    failing: f64,
}

/// The backend server that announced itself.
struct Server {
    url: String,
    incarnation: u64,
    seen: Instant,
}

struct Pending {
    task: Task,
    reply: oneshot::Sender<Response>,
}

/// A task on the backend server, and the slot it takes.
struct Run {
    pending: Pending,
    key: RunKey,
}

impl Runner {
    pub fn new(settings: &AgentSettings) -> Self {
        Self {
            slots: settings.slots as usize,
            renew: Duration::from_millis(settings.renew_ms),
            backend: Backend::new(settings.connections, settings.name.clone()),
            server: None,
            drain: Drain::Off,
            queue: discipline(settings),
            running: Slab::new(),
            failing: 0.0,
        }
    }

    fn load(&self) -> Load {
        let now = Instant::now();
        let short = self.queue.room(Class::Short, now);
        let long = self.queue.room(Class::Long, now);
        Load {
            queued: self.queue.queued() as u32,
            running: self.running.len() as u32,
            slots: self.slots as u32,
            backlog: short.wait,
            mean: short.mean,
            ready: self.is_ready(),
            short: room(short),
            long: room(long),
            failing: self.failing,
        }
    }

    fn is_ready(&self) -> bool {
        self.drain == Drain::Off && self.server.is_some()
    }

    fn accept(&mut self, pending: Pending, ctx: &mut Context<Self>) {
        if !self.is_ready() {
            self.answer(pending, Answer::not_run("agent takes no new work", RETRY_AFTER));
            return;
        }
        let task = &pending.task;
        let ask = Ask { operation: task.operation.clone(), deadline: task.deadline };
        if let Err(Refused { item, retry_after }) = self.queue.push(ask, pending, Instant::now()) {
            self.answer(item, Answer::not_run("agent can't end it in time", retry_after));
            return;
        }
        self.fill(ctx);
    }

    /// Starts queued tasks while slots are free, and tells those too late.
    fn fill(&mut self, ctx: &mut Context<Self>) {
        while let Some(server) = &self.server {
            let url = server.url.clone();
            match self.queue.pop(Instant::now()) {
                Next::Start(start) => self.begin(url, start.item, start.run, ctx),
                Next::Late(pending) => {
                    let answer = Answer::not_run("deadline too close in the queue", RETRY_AFTER);
                    self.answer(pending, answer);
                }
                Next::Idle => return,
            }
        }
    }

    fn begin(&mut self, url: String, pending: Pending, key: RunKey, ctx: &mut Context<Self>) {
        let task = pending.task.clone();
        let slot = self.running.insert(Run { pending, key });
        invariant!(self.running.len() <= self.slots, "{} tasks run at once", self.running.len());
        let run = self.backend.clone().run(url, task);
        let runner = ctx.address();
        actix::spawn(async move {
            let answer = run.await;
            runner.do_send(Ended { slot, answer });
        });
    }

    fn answer(&self, pending: Pending, answer: Answer) {
        let response = Response { reply: Reply::Answer(answer), load: self.load() };
        // the caller may have gone
        let _ = pending.reply.send(response);
    }

    fn check_renewal(&mut self) {
        let Some(server) = &self.server else { return };
        if server.seen.elapsed() <= self.renew {
            return;
        }
        Event::BackendGone.log(format_args!("{}", server.url));
        self.server = None;
        self.refuse_queue("backend server is gone");
    }

    fn refuse_queue(&mut self, reason: &str) {
        for pending in self.queue.clear() {
            self.answer(pending, Answer::not_run(reason, RETRY_AFTER));
        }
    }

    /// Learns from a run; a failure tells nothing of speed.
    fn observe(&mut self, key: RunKey, answer: &Answer) {
        let done = answer.outcome == Outcome::Done;
        self.queue.end(key, done.then_some(answer.ran));
        let failed = if done { 0.0 } else { 1.0 };
        self.failing += (failed - self.failing) * FAILING_WEIGHT;
    }
}

fn discipline(settings: &AgentSettings) -> Box<dyn Discipline<Pending>> {
    let slots = settings.slots as usize;
    let queue = Settings { slots, ..Settings::default() };
    match settings.queue {
        QueueKind::Classes => Box::new(Classed::new(queue)),
        QueueKind::Fifo => Box::new(Fifo::new(queue)),
    }
}

fn room(room: queue::Room) -> Room {
    Room { free: room.free, wait: room.wait, mean: room.mean }
}

impl Actor for Runner {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.set_mailbox_capacity(1 << 16);
        ctx.run_interval(TICK, |runner, _| runner.check_renewal());
        ctx.run_interval(LATE_TICK, |runner, ctx| runner.fill(ctx));
    }

    fn stopping(&mut self, ctx: &mut Context<Self>) -> actix::Running {
        ctx.terminate();
        actix::Running::Stop
    }
}

impl Handler<Offer> for Runner {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, Offer(task): Offer, ctx: &mut Context<Self>) -> Self::Result {
        let (reply, answer) = oneshot::channel();
        self.accept(Pending { task, reply }, ctx);
        let gone = Response {
            reply: Reply::Answer(Answer::unknown("agent dropped the task")),
            load: self.load(),
        };
        Box::pin(async move { answer.await.unwrap_or(gone) })
    }
}

impl Handler<Ended> for Runner {
    type Result = ();

    fn handle(&mut self, ended: Ended, ctx: &mut Context<Self>) {
        let Run { pending, key } = self.running.remove(ended.slot);
        self.observe(key, &ended.answer);
        self.fill(ctx);
        self.answer(pending, ended.answer);
    }
}

impl Handler<Announce> for Runner {
    type Result = ();

    fn handle(&mut self, announce: Announce, ctx: &mut Context<Self>) {
        let known = self.server.as_ref().is_some_and(|s| s.incarnation == announce.incarnation);
        if !known {
            Event::BackendSeen.log(format_args!("{}", announce.url));
        }
        self.server = Some(Server {
            url: announce.url,
            incarnation: announce.incarnation,
            seen: Instant::now(),
        });
        self.fill(ctx);
    }
}

impl Handler<Leave> for Runner {
    type Result = ();

    fn handle(&mut self, leave: Leave, _: &mut Context<Self>) {
        let Some(server) = &self.server else { return };
        if server.incarnation != leave.incarnation {
            return;
        }
        Event::BackendLeft.log(format_args!("{}", server.url));
        self.server = None;
        self.refuse_queue("backend server is leaving");
    }
}

impl Handler<Drain> for Runner {
    type Result = ();

    fn handle(&mut self, drain: Drain, _: &mut Context<Self>) {
        self.drain = drain;
    }
}

impl Handler<Inspect> for Runner {
    type Result = MessageResult<Inspect>;

    fn handle(&mut self, _: Inspect, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.load())
    }
}
