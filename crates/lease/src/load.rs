use std::time::Duration;

use crate::{CLASSES, Class, Resources};

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
    /// expected wait of one more task of each class; `None` while it is
    /// `expected_wait` for all of them
    pub class_waits: Option<[Duration; CLASSES]>,
}

impl AgentLoad {
    /// Expected wait of one more task of a class.
    pub fn wait(&self, class: Class) -> Duration {
        self.class_waits.map_or(self.expected_wait, |waits| waits[class.index()])
    }
}

/// Figures of one class at an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassStats {
    /// tasks ordered to start so far, again after a failed start
    pub started: u64,
    /// tasks returned as not run so far
    pub returned: u64,
    /// tasks in the queue
    pub waiting: usize,
    /// share in the recent use of the backend server
    pub share: f64,
}
