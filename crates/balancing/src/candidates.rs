use std::time::Duration;

/// State of an agent as this entry knows it, for the class of the task to place.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AgentView {
    pub slots: u32,
    /// slots that the task could take, as last reported
    pub free_slots: u32,
    /// expected wait in its queue, as last reported
    pub wait: Duration,
    /// mean run time of the class at this agent
    pub mean_run: Duration,
    /// tasks this entry sent there since the last report
    pub unreported: u32,
    /// tasks this entry sent there that have not ended
    pub outstanding: u32,
    /// share of its recent runs that failed, 0 to 1
    pub failure_rate: f64,
    /// additional round-trip time
    pub network_delay: Duration,
}

/// Agents to choose from, by index.
pub trait Candidates {
    fn len(&self) -> usize;

    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// State of an agent; `None` if it may not take the task.
    fn view(&self, index: usize) -> Option<AgentView>;
}
