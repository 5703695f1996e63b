use std::time::{Duration, Instant};

use base::{Answer, Outcome, Task};
use claim::{Call, CallEvent, CallStep, Grant, Holder};
use tokio::time::sleep;
use wire::{Method, Reply, read_load, read_reply, write_id};

use super::{
    dispatcher::{Dispatcher, Error, OfferOutcome, Result, claim_of, no_agent},
    home::HomeQuery,
};

/// Declined offers after which the call gives up.
const MAX_REFUSALS: u32 = 3;
/// Bounds of the backoff, which all phases of a call share.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// Attempts to bar a call before its answer is `unknown`.
const MAX_BAR_ATTEMPTS: u32 = 3;

/// One call of a keyed task, up to its answer.
///
/// The home of a key is the agent that grants its claims; a claim is the right to
/// start the task at most once. The holder is the agent whose claim was granted.
/// If nobody holds the claim, a bar makes the home refuse it to every call that
/// entries had received by then, this one included.
pub struct KeyedCall<'a> {
    dispatcher: &'a Dispatcher,
    task: Task,
    /// why the task is not admitted
    refusal: Option<Answer>,
    /// the last agent takes no new work, so that moving the task costs no retry
    agent_unready: bool,
    call: Call,
    refusals: u32,
    backoff: Duration,
}

impl<'a> KeyedCall<'a> {
    /// A call with a `refusal` makes no offer, but if the task was started before
    /// it still returns the answer of that start.
    pub fn new(dispatcher: &'a Dispatcher, task: Task, refusal: Option<Answer>) -> Self {
        let call = Call::new(no_agent());
        Self {
            dispatcher,
            task,
            refusal,
            agent_unready: false,
            call,
            refusals: 0,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Runs the call to its answer; the caller enforces the deadline.
    ///
    /// # Errors
    /// `Conflict` when the key was used with another body.
    pub async fn run(mut self) -> Result<Answer> {
        let mut step = CallStep::Offer;
        loop {
            let event = match step {
                CallStep::Offer => self.offer().await,
                CallStep::Attach(holder) => self.attach(holder).await,
                CallStep::LookUp => self.look_up().await,
                CallStep::Bar => self.bar().await,
                CallStep::Answer(answer) => return Ok(self.delay_retry(answer)),
                CallStep::Conflict => return Err(Error::Conflict),
            };
            step = self.call.next(event);
        }
    }

    async fn offer(&mut self) -> CallEvent {
        if let Some(refusal) = &self.refusal {
            return CallEvent::NoAgent(refusal.clone());
        }
        if self.refusals == MAX_REFUSALS {
            return CallEvent::NoAgent(self.call.refusal().clone());
        }
        let Some(chosen) = self.dispatcher.choose_off_home(&self.task) else {
            return CallEvent::NoAgent(no_agent());
        };
        let outcome = self.dispatcher.offer(&chosen, &self.task).await;
        self.agent_unready = !chosen.agent.is_ready();
        // the offer is no longer outstanding while the call backs off
        drop(chosen);
        match outcome {
            OfferOutcome::Replied(reply) => self.on_reply(reply).await,
            OfferOutcome::Unsent => self.on_declined(no_agent()).await,
            OfferOutcome::Lost(_) => CallEvent::NoReply,
        }
    }

    async fn on_reply(&mut self, reply: Reply) -> CallEvent {
        match reply {
            Reply::Answer(answer) => CallEvent::Answered(answer),
            Reply::Held(holder) => CallEvent::Held(holder),
            Reply::Conflict => CallEvent::Conflict,
            Reply::Declined(answer) => self.on_declined(answer).await,
        }
    }

    /// Backs off before the next offer. Refusals are counted, and take from the
    /// retry budget unless the agent takes no new work; failures to reach the home
    /// are not counted, since it may recover before the deadline.
    async fn on_declined(&mut self, answer: Answer) -> CallEvent {
        let refused = answer.outcome == Outcome::NotRun;
        self.refusals += u32::from(refused);
        if refused && !self.agent_unready && !self.dispatcher.take_retry() {
            return CallEvent::NoAgent(answer);
        }
        self.back_off().await;
        CallEvent::Declined(if refused { answer } else { no_agent() })
    }

    /// Waits for the answer of the holder, until it replies or is lost.
    async fn attach(&mut self, holder: Holder) -> CallEvent {
        loop {
            let Some(agent) = self.dispatcher.agents.get(&holder.name) else {
                self.back_off().await;
                continue;
            };
            match self.try_attach(agent.address, &holder).await {
                Ok(reply) => {
                    self.dispatcher.observe_run(&self.task, &reply);
                    return self.on_reply(reply).await;
                }
                // only this proves the holder lost: no process listens there any more
                Err(wire::Error::NotListening { .. }) => return CallEvent::HolderLost(holder),
                Err(_) => self.back_off().await,
            }
        }
    }

    async fn try_attach(
        &self,
        address: std::net::SocketAddr,
        holder: &Holder,
    ) -> wire::Result<Reply> {
        let link = self.dispatcher.links.get(address).await?;
        let mut req = link.agent()?.attach_request();
        Method::Attach.record_call();
        write_id(req.get().init_id(), &self.task.id);
        let left = self.task.time_left(Instant::now()).as_millis();
        req.get().set_left_ms(left.try_into().unwrap_or(u32::MAX));
        req.get().set_incarnation(holder.incarnation);
        let res = req.send().promise.await?;
        let reply = res.get()?.get_reply()?;
        self.dispatcher.agents.update_load(&holder.name, read_load(reply.get_load()?));
        read_reply(reply)
    }

    /// Asks the home who holds the claim; repeats while there is no reply, and after
    /// a `NotHome` reply.
    async fn look_up(&mut self) -> CallEvent {
        loop {
            if let Some(grant) = self.query(HomeQuery::LookUp).await
                && !matches!(grant, Grant::NotHome { .. })
            {
                return CallEvent::LookUpReply(grant);
            }
            self.back_off().await;
        }
    }

    /// Asks the home to bar the call, in a limited number of attempts.
    async fn bar(&mut self) -> CallEvent {
        for _ in 0..MAX_BAR_ATTEMPTS {
            if let Some(grant) = self.query(HomeQuery::Bar).await
                && !matches!(grant, Grant::NotHome { .. })
            {
                return CallEvent::BarReply(grant);
            }
            self.back_off().await;
        }
        CallEvent::HomeUnreachable
    }

    async fn query(&self, query: HomeQuery) -> Option<Grant> {
        let claim = claim_of(&self.task);
        Some(self.dispatcher.query_home(&self.task.service, &claim, query).await?.grant)
    }

    async fn back_off(&mut self) {
        sleep(self.backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Lengthens every short retry delay of a `NotRun` answer, whether the call was
    /// barred or not: a retry before a bar expires would be refused. The delay is
    /// added, so that retries stay spread out.
    fn delay_retry(&self, mut answer: Answer) -> Answer {
        if answer.outcome == Outcome::NotRun && answer.retry_after < self.dispatcher.bar_retry_delay
        {
            answer.retry_after += self.dispatcher.bar_retry_delay;
        }
        answer
    }
}
