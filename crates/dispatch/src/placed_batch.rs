use std::rc::Rc;

use lease::{Batch, Progress, TaskResult};

use crate::agent::Agent;

/// Tasks of a job that were placed together on one agent.
pub struct PlacedBatch {
    pub agent: Rc<Agent>,
    pub batch: Batch,
    /// ends that were reported so far
    pub seen: usize,
    /// tasks not settled yet, with the lowest number of their run
    pub open: Vec<(u32, u32)>,
}

/// What came of waiting for a part.
pub enum BatchUpdate {
    Progress(Progress),
    /// the agent has no such batch, and never will
    Unknown,
    /// the agent is out of reach, and its runs are over
    Lost,
}

impl PlacedBatch {
    pub fn new(agent: Rc<Agent>, batch: Batch) -> Self {
        let open = batch.tasks.iter().map(|t| (t.index, t.run)).collect();
        Self { agent, batch, seen: 0, open }
    }

    /// Notes ends that were reported.
    pub fn settle(&mut self, settled: &[TaskResult]) {
        self.seen += settled.len();
        self.open.retain(|(index, _)| settled.iter().all(|s| s.index != *index));
    }
}
