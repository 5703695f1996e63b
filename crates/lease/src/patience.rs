use std::time::Duration;

use base::Uptime;

/// Shortest and longest time that an answer is waited for.
const SHORTEST: Duration = Duration::from_millis(15);
const LONGEST: Duration = Duration::from_millis(100);
/// Assumed before the first answer.
const FIRST: Duration = Duration::from_millis(5);
/// Weights of a further answer in the mean and in the deviation, and the
/// deviations that are borne: as for retransmissions over TCP.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATIONS: u32 = 4;
/// How long a missing answer makes further ones likely.
const TROUBLE: Duration = Duration::from_secs(4);

/// How long answers of a backend server are worth waiting for. An answer that
/// is lost costs the whole limit, so the limit follows the times observed.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    mean: Duration,
    deviation: Duration,
    missed: Option<Uptime>,
}

impl Default for Patience {
    fn default() -> Self {
        Self { mean: FIRST, deviation: FIRST, missed: None }
    }
}

impl Patience {
    /// Notes an answer to a call that waited for nothing.
    pub fn answered(&mut self, took: Duration) {
        let off = took.abs_diff(self.mean);
        self.deviation =
            self.deviation.mul_f64(1.0 - DEVIATION_WEIGHT) + off.mul_f64(DEVIATION_WEIGHT);
        self.mean = self.mean.mul_f64(1.0 - MEAN_WEIGHT) + took.mul_f64(MEAN_WEIGHT);
    }

    /// Notes that no answer came in time.
    pub fn missed(&mut self, now: Uptime) {
        self.missed = Some(now);
        // a limit that was too short must not stay so
        self.deviation = self.deviation.mul_f64(1.0 + DEVIATION_WEIGHT).min(LONGEST);
    }

    /// Longest wait for an answer.
    pub fn limit(&self) -> Duration {
        (self.mean + self.deviation * DEVIATIONS).clamp(SHORTEST, LONGEST)
    }

    /// Whether answers went missing lately.
    pub fn in_trouble(&self, now: Uptime) -> bool {
        self.missed.is_some_and(|at| at + TROUBLE > now)
    }
}
