use std::rc::Rc;

use base::{Uptime, uptime};
use lease::{Batch, Progress, TaskResult};

use crate::agent::Agent;

/// A batch and the agent that it was placed on.
pub struct PlacedBatch {
    pub agent: Rc<Agent>,
    pub batch: Batch,
    pub sent_at: Uptime,
    /// the same or an earlier time, on the agent's clock
    pub sent_there: Uptime,
    /// number of results received so far
    pub seen: usize,
    /// index and lowest run number of the tasks without a result
    pub pending: Vec<(u32, u32)>,
}

/// Outcome of a call about a batch.
pub enum BatchUpdate {
    Progress(Progress),
    /// the agent did not receive the batch, and would not accept it any more
    NeverReceived,
    /// its runs have ended, with unknown results; the reason
    Lost(&'static str),
}

impl PlacedBatch {
    pub fn new(agent: Rc<Agent>, batch: Batch) -> Self {
        let pending = batch.tasks.iter().map(|t| (t.index, t.run)).collect();
        let sent_there = agent.alive_at();
        Self { agent, batch, sent_at: uptime(), sent_there, seen: 0, pending }
    }

    /// Records reported results.
    pub fn record_results(&mut self, results: &[TaskResult]) {
        self.seen += results.len();
        self.pending.retain(|(index, _)| results.iter().all(|s| s.index != *index));
    }
}
