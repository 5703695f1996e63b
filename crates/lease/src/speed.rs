use std::time::Duration;

/// Step of the tracked median, in the logarithm: a backend server that turns
/// six times slower is known as such after some 20 runs.
const STEP: f64 = 0.08;
const MOST: f64 = 50.0;
/// Weight of a further run in the mean run time.
const MEAN_WEIGHT: f64 = 0.05;
/// Run time assumed before the first end.
const FIRST_MEAN: Duration = Duration::from_millis(100);

/// Run times of a backend server against their estimates. It follows the
/// median, because estimates are rough and a few runs are many times longer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    log: f64,
    mean: Duration,
}

impl Default for Speed {
    fn default() -> Self {
        Self { log: 0.0, mean: FIRST_MEAN }
    }
}

impl Speed {
    /// Notes the run time of a task, or what its progress makes of it.
    pub fn observe(&mut self, ran: Duration, estimate: Duration) {
        if estimate.is_zero() || ran.is_zero() {
            return;
        }
        let sample = (ran.as_secs_f64() / estimate.as_secs_f64()).ln();
        let step = if sample > self.log { STEP } else { -STEP };
        let bound = MOST.ln();
        self.log = (self.log + step).clamp(-bound, bound);
        self.mean = self.mean.mul_f64(1.0 - MEAN_WEIGHT) + ran.mul_f64(MEAN_WEIGHT);
    }

    /// Run time over estimate.
    pub fn slowness(&self) -> f64 {
        self.log.exp()
    }

    pub fn mean(&self) -> Duration {
        self.mean
    }
}
