use std::time::Duration;

/// Settings of the wait that jobs may bear.
#[derive(Clone, Debug)]
pub struct ObjectiveSettings {
    /// share of the slack of an objective that may be spent waiting, 0 to 1;
    /// the rest is for estimates that are too low
    pub wait_share: f64,
    /// an answer is of no use after so many times the objective
    pub late_factor: f64,
}

impl Default for ObjectiveSettings {
    fn default() -> Self {
        Self { wait_share: 0.8, late_factor: 3.0 }
    }
}

/// When the answer to a job is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// response time aimed at, counted from the arrival
    pub target: Duration,
    /// response time after which the answer is of no use
    pub cutoff: Duration,
    wait_share: f64,
}

impl Objective {
    /// Of a job whose tasks take `estimate`, in a queue whose objective is
    /// `stretch` times that and `extra` more.
    pub fn new(
        settings: &ObjectiveSettings,
        estimate: Duration,
        stretch: f64,
        extra: Duration,
    ) -> Self {
        let target = estimate.mul_f64(stretch.max(1.0)) + extra;
        let useless = target.mul_f64(settings.late_factor);
        Self { target, cutoff: useless, wait_share: settings.wait_share }
    }

    /// Longest wait, from `age` on, of a task that runs for `run`; `None` when
    /// it can't end in time any more.
    pub fn max_wait(&self, age: Duration, run: Duration) -> Option<Duration> {
        let slack = self.target.checked_sub(run)?;
        slack.mul_f64(self.wait_share).checked_sub(age)
    }
}
