//! Calls to agents about batches, over the newest link to each agent.

use std::{rc::Rc, time::Duration};

use base::uptime;
use lease::{BatchStatus, LeaseTimings, SessionId};
use tokio::time::timeout;
use wire::{Method, egret_capnp::worker, read_batch_status, write_batch};

use crate::{
    agent::Agent,
    agents::Agents,
    placed_batch::{BatchUpdate, PlacedBatch},
};

/// Longest wait for the answer to a stop until it is sent again.
const STOP_TIMEOUT: Duration = Duration::from_millis(400);

/// Calls agents on behalf of this entry.
#[derive(Clone)]
pub struct AgentClient {
    pub agents: Rc<Agents>,
    pub timings: LeaseTimings,
    /// session of this entry with every agent
    pub session: SessionId,
}

impl AgentClient {
    /// Places a batch, or follows one that is placed, until there is progress.
    pub async fn wait_update(&self, batch: &PlacedBatch, mut placed: bool) -> BatchUpdate {
        // this entry was suspended after it made the plan: the caller has less time left
        // than the batch says, or has gone
        let age = uptime().saturating_sub(batch.sent_at);
        if !placed && age > self.timings.heartbeat_interval() {
            return BatchUpdate::NeverReceived;
        }
        loop {
            let (number, worker) = batch.agent.link();
            let call = async {
                if placed {
                    self.follow(&worker, batch).await
                } else {
                    self.place(&worker, batch).await
                }
            };
            let reply = tokio::select! {
                reply = call => reply,
                () = self.until_unreachable(&batch.agent, number) => None,
            };
            match reply {
                Some(BatchStatus::Progress(progress)) => return BatchUpdate::Progress(progress),
                Some(BatchStatus::NeverReceived) => return BatchUpdate::NeverReceived,
                Some(BatchStatus::Forgotten) => return BatchUpdate::Lost("agent has forgotten it"),
                None => {}
            }
            placed = true;
            if !self.wait_until_reachable(&batch.agent, number).await {
                return BatchUpdate::Lost("agent out of reach");
            }
        }
    }

    /// Stops a batch. The call is repeated until it is answered, also over new links,
    /// or until the leases have ended the runs: an agent that is connected again
    /// would go on with them.
    pub async fn stop(&self, agent: Rc<Agent>, number: u64) {
        loop {
            let (link, worker) = agent.link();
            let answered = tokio::select! {
                answer = timeout(STOP_TIMEOUT, self.send_stop(&worker, number)) => {
                    answer.is_ok_and(|a| a.is_ok())
                }
                () = self.until_unreachable(&agent, link) => false,
            };
            if answered || !self.wait_until_reachable(&agent, link).await {
                return;
            }
        }
    }

    async fn send_stop(&self, worker: &worker::Client, number: u64) -> capnp::Result<()> {
        let mut req = worker.stop_request();
        Method::Stop.record_call();
        req.get().set_session(self.session.0);
        req.get().set_number(number);
        req.send().promise.await.map(drop)
    }

    async fn place(&self, worker: &worker::Client, batch: &PlacedBatch) -> Option<BatchStatus> {
        let mut req = worker.place_request();
        Method::Place.record_call();
        req.get().set_session(self.session.0);
        req.get().set_heard_us(batch.agent.alive_at().as_micros() as u64);
        write_batch(req.get().init_batch(), &batch.batch);
        let res = req.send().promise.await.ok()?;
        read_batch_status(res.get().ok()?.get_progress().ok()?).ok()
    }

    async fn follow(&self, worker: &worker::Client, batch: &PlacedBatch) -> Option<BatchStatus> {
        let mut req = worker.follow_request();
        Method::Follow.record_call();
        req.get().set_session(self.session.0);
        req.get().set_number(batch.batch.number);
        req.get().set_after(batch.seen as u32);
        req.get().set_sent_us(batch.sent_there.as_micros() as u64);
        let left_ms = batch.batch.time_left.as_millis().try_into().unwrap_or(u32::MAX);
        req.get().set_left_ms(left_ms);
        req.get().set_heard_us(batch.agent.alive_at().as_micros() as u64);
        let res = req.send().promise.await.ok()?;
        read_batch_status(res.get().ok()?.get_progress().ok()?).ok()
    }

    /// Waits until the link is replaced or the agent's heartbeats stop.
    async fn until_unreachable(&self, agent: &Rc<Agent>, number: u64) {
        loop {
            let changed = agent.changed.notified();
            if agent.link().0 != number || self.is_replaced(agent) {
                return;
            }
            let silence = agent.since_heartbeat();
            if silence >= self.timings.session_ttl {
                return agent.set_unreachable();
            }
            let _ = timeout(self.timings.session_ttl - silence, changed).await;
        }
    }

    /// Waits for an agent whose link or heartbeats were lost; false once its
    /// runs have ended.
    async fn wait_until_reachable(&self, agent: &Rc<Agent>, number: u64) -> bool {
        let since = uptime();
        loop {
            let changed = agent.changed.notified();
            let silence = agent.since_heartbeat();
            // an agent that was only suspended returns over the same link
            let is_back = agent.link().0 != number || silence < uptime().saturating_sub(since);
            if is_back && silence < self.timings.session_ttl {
                return true;
            }
            // a new incarnation accepts work only once no run of an earlier one goes on
            let next = self.agents.get(&agent.name).filter(|a| a.incarnation != agent.incarnation);
            if next.is_some_and(|a| a.load().ready) {
                return false;
            }
            // no later process renews a lease for runs of this incarnation
            let expiry = agent.last_contact() + self.timings.run_expiry;
            let Some(left) = expiry.checked_sub(uptime()).filter(|l| !l.is_zero()) else {
                return false;
            };
            let _ = timeout(left.min(self.timings.heartbeat_interval()), changed).await;
        }
    }

    fn is_replaced(&self, agent: &Rc<Agent>) -> bool {
        self.agents.get(&agent.name).is_some_and(|a| a.incarnation != agent.incarnation)
    }
}
