use std::time::Duration;

/// Step of the tracked median, in log space: a backend server that becomes
/// six times slower shows as such after about 20 runs.
const MEDIAN_STEP: f64 = 0.08;
/// The first runs of a process are averaged, so that it converges quickly.
const AVERAGED_RUNS: u32 = 8;
const MAX_RATIO: f64 = 50.0;
/// Weight of a new run in the mean run time.
const MEAN_WEIGHT: f64 = 0.05;
/// Mean run time assumed before the first run ends.
const INITIAL_MEAN: Duration = Duration::from_millis(100);

/// Ratio of a backend server's run times to their estimates. Tracks the
/// median, because estimates are rough and a few runs take many times longer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    log_ratio: f64,
    mean: Duration,
    /// observed so far, at most `AVERAGED_RUNS`
    runs: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Self { log_ratio: 0.0, mean: INITIAL_MEAN, runs: 0 }
    }
}

impl Speed {
    /// Records the run time of a task, measured or extrapolated from its progress.
    pub fn observe(&mut self, run_time: Duration, estimate: Duration) {
        if estimate.is_zero() || run_time.is_zero() {
            return;
        }
        let sample = (run_time.as_secs_f64() / estimate.as_secs_f64()).ln();
        let deviation = sample - self.log_ratio;
        self.runs = (self.runs + 1).min(AVERAGED_RUNS);
        let step = match self.runs < AVERAGED_RUNS {
            true => deviation / f64::from(self.runs),
            false => MEDIAN_STEP.copysign(deviation),
        };
        let bound = MAX_RATIO.ln();
        self.log_ratio = (self.log_ratio + step).clamp(-bound, bound);
        self.mean = self.mean.mul_f64(1.0 - MEAN_WEIGHT) + run_time.mul_f64(MEAN_WEIGHT);
    }

    /// Ratio of run times to estimates.
    pub fn slowness(&self) -> f64 {
        self.log_ratio.exp()
    }

    /// Mean run time.
    pub fn mean(&self) -> Duration {
        self.mean
    }
}
