use std::time::Duration;

use crate::Resources;

/// Load of an agent, and its capacity for more tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AgentLoad {
    /// accepts new work
    pub ready: bool,
    pub capacity: Resources,
    pub free: Resources,
    /// expected wait of a task at the end of the queue
    pub expected_wait: Duration,
    /// ratio of run times to estimates
    pub slowness: f64,
    /// runs on its backend server fail or stall
    pub suspect: bool,
}
