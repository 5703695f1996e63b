use std::time::{Duration, Instant};

use actix::{Actor, ActorContext, AsyncContext, Context, Handler, MessageResult, ResponseFuture};
use base::{Answer, Event};
use claim::Stage;
use tokio::sync::oneshot;
use wire::Reply;

use super::{BackendServer, RETRY_AFTER, Run, Runner, declined};
use crate::run::{
    message::{
        Announce, Attach, BeginIncarnation, Cancel, ClaimAnswer, Drain, GetLoad, GetMemoryUse,
        GetStage, HandOver, Leave, Limits, MemoryUse, Offer, ReleaseDone, Response, RunEnded,
    },
    pending::Call,
};

const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);

impl Actor for Runner {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.set_mailbox_capacity(1 << 16);
        ctx.run_interval(HOUSEKEEPING_INTERVAL, |runner, ctx| {
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
        let call = Call { reply, deadline: task.deadline, received_ms: task.received_ms };
        self.accept(task, call, ctx);
        self.response(answer)
    }
}

impl Handler<Attach> for Runner {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, attach: Attach, _: &mut Context<Self>) -> Self::Result {
        let (reply, answer) = oneshot::channel();
        // later than any bar, as a refusal of another call must not answer this one
        let call = Call { reply, deadline: attach.deadline, received_ms: u64::MAX };
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

impl Handler<ClaimAnswer> for Runner {
    type Result = ();

    fn handle(&mut self, ClaimAnswer { claim, grant }: ClaimAnswer, ctx: &mut Context<Self>) {
        self.on_claim_answer(&claim, grant, ctx);
    }
}

impl Handler<ReleaseDone> for Runner {
    type Result = ();

    fn handle(&mut self, ReleaseDone(claim): ReleaseDone, _: &mut Context<Self>) {
        self.records.on_released(&claim);
    }
}

impl Handler<GetStage> for Runner {
    type Result = MessageResult<GetStage>;

    fn handle(&mut self, GetStage(id): GetStage, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.records.stage(&id).cloned())
    }
}

impl Handler<Cancel> for Runner {
    type Result = MessageResult<Cancel>;

    fn handle(&mut self, Cancel(ids): Cancel, ctx: &mut Context<Self>) -> Self::Result {
        MessageResult(ids.iter().map(|id| self.cancel(id, ctx)).collect())
    }
}

impl Handler<GetMemoryUse> for Runner {
    type Result = MessageResult<GetMemoryUse>;

    fn handle(&mut self, _: GetMemoryUse, _: &mut Context<Self>) -> Self::Result {
        MessageResult(MemoryUse {
            claims: self.claim_server.len(),
            claim_bytes: self.claim_server.bytes(),
            records: self.records.len(),
            record_bytes: self.records.bytes(),
        })
    }
}

impl Handler<HandOver> for Runner {
    type Result = MessageResult<HandOver>;

    fn handle(&mut self, request: HandOver, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.records.hand_over(|id| request.roster.moves_key(id, &request.home)))
    }
}

impl Handler<BeginIncarnation> for Runner {
    type Result = ();

    fn handle(&mut self, BeginIncarnation(me): BeginIncarnation, _: &mut Context<Self>) {
        self.records.begin_incarnation(me);
    }
}

impl Handler<RunEnded> for Runner {
    type Result = ();

    fn handle(&mut self, ended: RunEnded, ctx: &mut Context<Self>) {
        let Run { task, key } = self.running.remove(ended.slot);
        self.record_run(key, &ended.answer);
        self.finish(&task, ended.answer, ctx);
        self.start_queued(ctx);
    }
}

impl Handler<Announce> for Runner {
    type Result = ();

    fn handle(&mut self, announce: Announce, ctx: &mut Context<Self>) {
        let known = self.server.as_ref().is_some_and(|s| s.incarnation == announce.incarnation);
        if !known {
            Event::BackendAnnounced.log(format_args!("{}", announce.url));
        }
        self.server = Some(BackendServer {
            url: announce.url,
            incarnation: announce.incarnation,
            last_seen: Instant::now(),
        });
        self.start_queued(ctx);
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
        self.reject_queue("backend server is leaving", ctx);
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
        self.start_queued(ctx);
    }
}

impl Handler<GetLoad> for Runner {
    type Result = MessageResult<GetLoad>;

    fn handle(&mut self, _: GetLoad, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.load())
    }
}
