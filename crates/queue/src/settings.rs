use std::time::Duration;

/// Settings of a queue.
#[derive(Clone, Debug)]
pub struct Settings {
    /// tasks that run at once
    pub slots: usize,
    /// share of the slots that long work may take, 0 to 1
    pub long_share: f64,
    /// a class of work is long from this many times the short run time on
    pub long_factor: f64,
    /// waits count in run times of the task; past this many it goes first
    pub target_slowdown: f64,
    /// longest wait before a task goes ahead of all that came later
    pub max_target_wait: Duration,
    /// most tasks that wait
    pub max_queued: usize,
    /// share of the time left that may be spent waiting at enqueue, 0 to 1
    pub wait_share: f64,
}

impl Settings {
    /// Most slots that long work takes while short work is about.
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
