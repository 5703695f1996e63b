use std::time::Duration;

/// Settings of the wait that jobs may bear.
#[derive(Clone, Debug)]
pub struct ObjectiveSettings {
    /// share of the slack of an objective that may be spent waiting, 0 to 1,
    /// for the most urgent queue
    pub wait_share: f64,
    /// the same for each further step of priority, as a factor
    pub step: f64,
    /// least share of the slack, for whatever priority
    pub least_share: f64,
    /// an answer later than so many times the objective is worth nothing
    pub late_factor: f64,
}

impl Default for ObjectiveSettings {
    fn default() -> Self {
        Self { wait_share: 0.8, step: 1.0, least_share: 0.3, late_factor: 3.0 }
    }
}

/// When the answer to a job is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// response time aimed at, counted from the arrival
    pub target: Duration,
    /// longest wait of a task for its start
    pub wait: Duration,
    /// response time after which the answer is of no use
    pub useless: Duration,
}

impl Objective {
    /// Of a job whose tasks take `estimate`, in a queue whose objective is
    /// `stretch` times that and `extra` more.
    pub fn new(
        settings: &ObjectiveSettings,
        estimate: Duration,
        stretch: f64,
        extra: Duration,
        priority: u32,
    ) -> Self {
        let target = estimate.mul_f64(stretch.max(1.0)) + extra;
        let slack = target.saturating_sub(estimate);
        let step = settings.step.powi(priority.min(16) as i32);
        let share = (settings.wait_share * step).max(settings.least_share);
        Self { target, wait: slack.mul_f64(share), useless: target.mul_f64(settings.late_factor) }
    }
}
