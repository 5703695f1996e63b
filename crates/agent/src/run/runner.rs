use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use actix::{Actor, ActorContext, AsyncContext, Context, Handler, MessageResult, ResponseFuture};
use base::{Answer, Event, Task, invariant};
use conf::AgentSettings;
use slab::Slab;
use tokio::sync::oneshot;
use wire::{Load, Reply};

use super::{
    backend::Backend,
    message::{Announce, Drain, Ended, Inspect, Leave, Offer, Response},
};

const TICK: Duration = Duration::from_millis(100);
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Weight of the newest run in the mean run time.
const MEAN_WEIGHT: f64 = 0.1;

/// Queues tasks and runs them on the backend server, never more at once than
/// there are slots.
pub struct Runner {
    slots: usize,
    renew: Duration,
    backend: Backend,
    server: Option<Server>,
    drain: Drain,
    queue: VecDeque<Pending>,
    running: Slab<Pending>,
    mean: Duration,
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

impl Runner {
    pub fn new(settings: &AgentSettings) -> Self {
        Self {
            slots: settings.slots as usize,
            renew: Duration::from_millis(settings.renew_ms),
            backend: Backend::new(settings.connections, settings.name.clone()),
            server: None,
            drain: Drain::Off,
            queue: VecDeque::new(),
            running: Slab::new(),
            mean: Duration::ZERO,
        }
    }

    fn load(&self) -> Load {
        let waiting = self.queue.len() + self.running.len();
        Load {
            queued: self.queue.len() as u32,
            running: self.running.len() as u32,
            slots: self.slots as u32,
            backlog: self.mean * waiting as u32 / self.slots as u32,
            mean: self.mean,
            ready: self.is_ready(),
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
        self.queue.push_back(pending);
        self.fill(ctx);
    }

    /// Starts queued tasks while slots are free.
    fn fill(&mut self, ctx: &mut Context<Self>) {
        while self.running.len() < self.slots {
            let Some(server) = &self.server else { return };
            let url = server.url.clone();
            let Some(pending) = self.queue.pop_front() else { return };
            if pending.task.deadline <= Instant::now() {
                self.answer(pending, Answer::not_run("deadline passed in the queue", RETRY_AFTER));
                continue;
            }
            self.begin(url, pending, ctx);
        }
    }

    fn begin(&mut self, url: String, pending: Pending, ctx: &mut Context<Self>) {
        let task = pending.task.clone();
        let slot = self.running.insert(pending);
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
        for pending in std::mem::take(&mut self.queue) {
            self.answer(pending, Answer::not_run(reason, RETRY_AFTER));
        }
    }

    fn observe(&mut self, ran: Duration) {
        if self.mean.is_zero() {
            self.mean = ran;
            return;
        }
        self.mean = self.mean.mul_f64(1.0 - MEAN_WEIGHT) + ran.mul_f64(MEAN_WEIGHT);
    }
}

impl Actor for Runner {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.set_mailbox_capacity(1 << 16);
        ctx.run_interval(TICK, |runner, _| runner.check_renewal());
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
        let pending = self.running.remove(ended.slot);
        self.observe(ended.answer.ran);
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
