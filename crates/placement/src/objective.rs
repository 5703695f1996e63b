use std::time::Duration;

/// Far beyond any caller's wait; bounds objectives so that times computed from them
/// don't overflow.
const MAX_TARGET: Duration = Duration::from_secs(30 * 86_400);

/// Settings of the objectives of jobs.
#[derive(Clone, Debug)]
pub struct ObjectiveSettings {
    /// share of an objective's slack that may be spent waiting, 0 to 1; the
    /// rest covers estimates that are too low
    pub wait_share: f64,
    /// multiple of the objective after which an answer is of no use
    pub late_factor: f64,
}

impl Default for ObjectiveSettings {
    fn default() -> Self {
        Self { wait_share: 0.8, late_factor: 3.0 }
    }
}

/// Response time objective of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// target of the response time, counted from the arrival
    pub target: Duration,
    /// response time after which the answer is of no use
    pub cutoff: Duration,
    wait_share: f64,
}

impl Objective {
    /// The objective of a job whose tasks take `estimate`: `stretch` times the
    /// estimate, plus `extra`.
    pub fn new(
        settings: &ObjectiveSettings,
        estimate: Duration,
        stretch: f64,
        extra: Duration,
    ) -> Self {
        let target = (stretched(estimate, stretch) + extra.min(MAX_TARGET)).min(MAX_TARGET);
        let cutoff = target.mul_f64(settings.late_factor);
        Self { target, cutoff, wait_share: settings.wait_share }
    }

    /// Longest further wait of a task that takes `run_time`, in a job of this
    /// `age`; `None` when it can no longer end in time.
    pub fn max_wait(&self, age: Duration, run_time: Duration) -> Option<Duration> {
        let slack = self.target.checked_sub(run_time)?;
        slack.mul_f64(self.wait_share).checked_sub(age)
    }
}

/// `stretch` times the estimate, at most [`MAX_TARGET`].
fn stretched(estimate: Duration, stretch: f64) -> Duration {
    let seconds = estimate.as_secs_f64() * stretch.max(1.0);
    Duration::try_from_secs_f64(seconds).map_or(MAX_TARGET, |time| time.min(MAX_TARGET))
}
