use std::time::Duration;

use crate::Resources;

/// What an agent has for further tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AgentLoad {
    /// takes new work
    pub ready: bool,
    pub capacity: Resources,
    pub free: Resources,
    /// expected wait of a task that is queued last
    pub expected_wait: Duration,
    /// run time over estimate
    pub slowness: f64,
    /// its backend server fails or stalls what it starts
    pub suspect: bool,
}
