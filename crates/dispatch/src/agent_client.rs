//! Calls about one part of a job, over whatever link its agent has.

use std::{rc::Rc, time::Duration};

use base::uptime;
use lease::{LeaseTimings, Progress, SessionId};
use tokio::time::timeout;
use wire::{Method, egret_capnp::worker, read_progress, write_batch};

use crate::{
    agent::Agent,
    agents::Agents,
    placed_batch::{BatchUpdate, PlacedBatch},
};

/// Longest wait for a stop before the sessions are left to end the runs.
const STOP_LIMIT: Duration = Duration::from_millis(400);

/// What a call needs beside the part.
#[derive(Clone)]
pub struct AgentClient {
    pub agents: Rc<Agents>,
    pub timings: LeaseTimings,
    /// of this entry, with every agent
    pub session: SessionId,
}

impl AgentClient {
    /// Places a part, or goes on waiting for it, until there is news.
    pub async fn news(&self, part: &PlacedBatch, mut placed: bool) -> BatchUpdate {
        loop {
            let (number, worker) = part.agent.link();
            let call = async {
                if placed {
                    self.follow(&worker, part).await
                } else {
                    self.place(&worker, part).await
                }
            };
            let done = tokio::select! {
                done = call => done,
                () = self.until_cut(&part.agent, number) => None,
            };
            match done {
                Some(Some(progress)) => return BatchUpdate::Progress(progress),
                Some(None) => return BatchUpdate::Unknown,
                None => {}
            }
            placed = true;
            if !self.reached_again(&part.agent, number).await {
                return BatchUpdate::Lost;
            }
        }
    }

    /// Gives a part up; the leases end what can't be reached.
    pub async fn stop(&self, agent: Rc<Agent>, number: u64) {
        let (_, worker) = agent.link();
        let mut req = worker.stop_request();
        Method::Stop.record_call();
        req.get().set_session(self.session.0);
        req.get().set_number(number);
        // without an answer the session of this entry or the leases end it
        let _ = timeout(STOP_LIMIT, req.send().promise).await;
    }

    async fn place(&self, worker: &worker::Client, part: &PlacedBatch) -> Option<Option<Progress>> {
        let mut req = worker.place_request();
        Method::Place.record_call();
        req.get().set_session(self.session.0);
        req.get().set_heard_us(part.agent.alive_at().as_micros() as u64);
        write_batch(req.get().init_batch(), &part.batch);
        let res = req.send().promise.await.ok()?;
        read_progress(res.get().ok()?.get_progress().ok()?).ok()
    }

    async fn follow(
        &self,
        worker: &worker::Client,
        part: &PlacedBatch,
    ) -> Option<Option<Progress>> {
        let mut req = worker.follow_request();
        Method::Follow.record_call();
        req.get().set_session(self.session.0);
        req.get().set_number(part.batch.number);
        req.get().set_after(part.seen as u32);
        req.get().set_heard_us(part.agent.alive_at().as_micros() as u64);
        let res = req.send().promise.await.ok()?;
        read_progress(res.get().ok()?.get_progress().ok()?).ok()
    }

    /// Waits until a link is replaced, or its agent is silent.
    async fn until_cut(&self, agent: &Rc<Agent>, number: u64) {
        loop {
            let changed = agent.changed.notified();
            let silent = agent.since_heartbeat();
            if agent.link().0 != number
                || silent >= self.timings.session_ttl
                || self.is_replaced(agent)
            {
                return;
            }
            let _ = timeout(self.timings.session_ttl - silent, changed).await;
        }
    }

    /// Waits for an agent whose link was cut, or that was silent; false once
    /// its runs are over.
    async fn reached_again(&self, agent: &Rc<Agent>, number: u64) -> bool {
        let since = uptime();
        loop {
            let changed = agent.changed.notified();
            let silent = agent.since_heartbeat();
            // an agent that only paused comes back over the same link
            let is_back = agent.link().0 != number || silent < uptime().saturating_sub(since);
            if is_back && silent < self.timings.session_ttl {
                return true;
            }
            // another life takes work only once nothing of an earlier one runs
            let next = self.agents.get(&agent.name).filter(|a| a.incarnation != agent.incarnation);
            if next.is_some_and(|a| a.load().ready) {
                return false;
            }
            let over = agent.last_contact() + self.timings.run_expiry;
            let Some(left) = over.checked_sub(uptime()).filter(|l| !l.is_zero()) else {
                return false;
            };
            let _ = timeout(left.min(self.timings.heartbeat_interval()), changed).await;
        }
    }

    fn is_replaced(&self, agent: &Rc<Agent>) -> bool {
        self.agents.get(&agent.name).is_some_and(|a| a.incarnation != agent.incarnation)
    }
}
