use std::time::Duration;

/// Settings of a queue.
#[derive(Clone, Debug)]
pub struct Settings {
    /// tasks that run at once
    pub slots: usize,
    /// share of the slots that long work may take while there is short work, 0 to 1
    pub long_share: f64,
    /// ratio of run times from which an operation is long compared with short ones
    pub long_factor: f64,
    /// wait, as a multiple of its expected run time, after which a task should start
    pub target_slowdown: f64,
    /// upper bound of that wait
    pub max_target_wait: Duration,
    /// largest number of queued tasks
    pub max_queued: usize,
    /// share of the slack to the deadline that a new task may be expected to wait, 0 to 1
    pub wait_share: f64,
}

impl Settings {
    /// Slots that long work may take while there is short work.
    pub fn long_slots(&self) -> usize {
        let most = (self.slots as f64 * self.long_share).ceil() as usize;
        most.clamp(1, self.slots.max(1))
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            long_share: 0.625,
            long_factor: 5.0,
            target_slowdown: 4.0,
            max_target_wait: Duration::from_secs(2),
            max_queued: 4096,
            wait_share: 0.7,
        }
    }
}
