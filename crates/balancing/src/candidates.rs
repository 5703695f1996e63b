use std::time::Duration;

/// What is known of an agent, for the class of the task to place.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AgentView {
    pub slots: u32,
    /// slots the task could take, when last reported
    pub free_slots: u32,
    /// expected wait in its queue, when last reported
    pub wait: Duration,
    /// mean run time of the class there
    pub mean_run: Duration,
    /// tasks this entry sent there since the last report
    pub unreported: u32,
    /// tasks this entry sent there that are not over
    pub outstanding: u32,
    /// share of its newest runs that failed, 0 to 1
    pub failure_rate: f64,
    /// extra time on the way there and back
    pub network_delay: Duration,
}

/// Agents to choose from, by index.
pub trait Candidates {
    fn len(&self) -> usize;

    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// An agent that may take the task; `None` when it may not.
    fn view(&self, index: usize) -> Option<AgentView>;
}
