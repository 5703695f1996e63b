use std::time::{Duration, Instant};

use actix::{Actor, ActorContext, AsyncContext, Context, Handler, MessageResult, ResponseFuture};
use base::{Answer, Event};
use claim::Stage;
use tokio::sync::oneshot;
use wire::Reply;

use super::{RETRY_AFTER, Run, Runner, Server, declined};
use crate::run::{
    message::{
        Announce, Attach, Cancel, Drain, Ended, HandOver, Inspect, Kept, Leave, Limits, Offer,
        Released, Remembered, Renew, Response, Status, Word,
    },
    waiting::Call,
};

const TICK: Duration = Duration::from_millis(100);

impl Actor for Runner {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.set_mailbox_capacity(1 << 16);
        ctx.run_interval(TICK, |runner, ctx| {
            runner.check_renewal(ctx);
            runner.expire();
        });
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
        let call = Call { reply, deadline: task.deadline, started: task.received_ms };
        self.accept(task, call, ctx);
        self.response(answer)
    }
}

impl Handler<Attach> for Runner {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, attach: Attach, _: &mut Context<Self>) -> Self::Result {
        let (reply, answer) = oneshot::channel();
        // no refusal of another call is meant for it
        let call = Call { reply, deadline: attach.deadline, started: u64::MAX };
        let reply = match self.records.stage(&attach.id) {
            Some(Stage::Over(answer)) => Some(Reply::Answer(answer.clone())),
            Some(Stage::ClaimRequested | Stage::Queued | Stage::Running) => None,
            Some(Stage::GivenUp { .. }) => Some(declined("agent gave the task up", RETRY_AFTER)),
            None if attach.incarnation == self.records.me().incarnation => {
                Some(declined("agent gave the task up", RETRY_AFTER))
            }
            None => Some(Reply::Answer(Answer::unknown("the agent that held it was restarted"))),
        };
        match reply {
            Some(reply) => call.answer(reply, self.load()),
            None => self.attach(&attach.id, call),
        }
        self.response(answer)
    }
}

impl Handler<Word> for Runner {
    type Result = ();

    fn handle(&mut self, Word { claim, grant }: Word, ctx: &mut Context<Self>) {
        self.hear(&claim, grant, ctx);
    }
}

impl Handler<Released> for Runner {
    type Result = ();

    fn handle(&mut self, Released(claim): Released, _: &mut Context<Self>) {
        self.records.on_released(&claim);
    }
}

impl Handler<Status> for Runner {
    type Result = MessageResult<Status>;

    fn handle(&mut self, Status(id): Status, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.records.stage(&id).cloned())
    }
}

impl Handler<Cancel> for Runner {
    type Result = MessageResult<Cancel>;

    fn handle(&mut self, Cancel(ids): Cancel, ctx: &mut Context<Self>) -> Self::Result {
        MessageResult(ids.iter().map(|id| self.cancel(id, ctx)).collect())
    }
}

impl Handler<Remembered> for Runner {
    type Result = MessageResult<Remembered>;

    fn handle(&mut self, _: Remembered, _: &mut Context<Self>) -> Self::Result {
        MessageResult(Kept {
            claims: self.desk.len(),
            claim_bytes: self.desk.bytes(),
            records: self.records.len(),
            record_bytes: self.records.bytes(),
        })
    }
}

impl Handler<HandOver> for Runner {
    type Result = MessageResult<HandOver>;

    fn handle(&mut self, ask: HandOver, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.records.hand_over(|id| ask.roster.moves_key(id, &ask.home)))
    }
}

impl Handler<Renew> for Runner {
    type Result = ();

    fn handle(&mut self, Renew(me): Renew, _: &mut Context<Self>) {
        self.records.begin_incarnation(me);
    }
}

impl Handler<Ended> for Runner {
    type Result = ();

    fn handle(&mut self, ended: Ended, ctx: &mut Context<Self>) {
        let Run { task, key } = self.running.remove(ended.slot);
        self.observe(key, &ended.answer);
        self.end(&task, ended.answer, ctx);
        self.fill(ctx);
    }
}

impl Handler<Announce> for Runner {
    type Result = ();

    fn handle(&mut self, announce: Announce, ctx: &mut Context<Self>) {
        let known = self.server.as_ref().is_some_and(|s| s.incarnation == announce.incarnation);
        if !known {
            Event::BackendAnnounced.log(format_args!("{}", announce.url));
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

    fn handle(&mut self, leave: Leave, ctx: &mut Context<Self>) {
        let Some(server) = &self.server else { return };
        if server.incarnation != leave.incarnation {
            return;
        }
        Event::BackendLeft.log(format_args!("{}", server.url));
        self.server = None;
        self.refuse_queue("backend server is leaving", ctx);
    }
}

impl Handler<Drain> for Runner {
    type Result = ();

    fn handle(&mut self, drain: Drain, _: &mut Context<Self>) {
        if self.drain != Drain::Stop {
            self.drain = drain;
        }
    }
}

impl Handler<Limits> for Runner {
    type Result = ();

    fn handle(&mut self, limits: Limits, ctx: &mut Context<Self>) {
        self.slots = limits.slots as usize;
        self.queue.resize(self.slots);
        self.backend = self.backend.resized(limits.connections);
        self.fill(ctx);
    }
}

impl Handler<Inspect> for Runner {
    type Result = MessageResult<Inspect>;

    fn handle(&mut self, _: Inspect, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.load())
    }
}
