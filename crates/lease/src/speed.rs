use std::time::Duration;

/// Step of the tracked median, in the logarithm: a backend server that turns
/// six times slower is known as such after some 20 runs.
const STEP: f64 = 0.08;
/// The first runs of a process count in full, so that a fresh one soon knows.
const FIRST_RUNS: u32 = 8;
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
    /// observed so far, up to the first few
    runs: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Self { log: 0.0, mean: FIRST_MEAN, runs: 0 }
    }
}

impl Speed {
    /// Notes the run time of a task, or what its progress makes of it.
    pub fn observe(&mut self, ran: Duration, estimate: Duration) {
        if estimate.is_zero() || ran.is_zero() {
            return;
        }
        let sample = (ran.as_secs_f64() / estimate.as_secs_f64()).ln();
        let off = sample - self.log;
        self.runs = (self.runs + 1).min(FIRST_RUNS);
        let step = match self.runs < FIRST_RUNS {
            true => off / f64::from(self.runs),
            false => STEP.copysign(off),
        };
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
