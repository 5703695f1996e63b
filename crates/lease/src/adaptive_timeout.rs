use std::time::Duration;

use base::Uptime;

const MIN_TIMEOUT: Duration = Duration::from_millis(15);
const MAX_TIMEOUT: Duration = Duration::from_millis(100);
/// Latency assumed before the first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(25);
/// Factor over the slowest recent answer.
const MARGIN: f64 = 1.3;
/// Answers in a window; the slowest of the current and the previous window
/// counts. A backend server may take several times as long for one call in a
/// hundred, which a mean and a deviation don't show.
const WINDOW_ANSWERS: u32 = 300;
/// How long a lost answer makes further losses likely.
const LOSS_PERIOD: Duration = Duration::from_secs(4);

/// Timeout of calls to a backend server. A lost answer costs the whole
/// timeout, and an answer given up too early costs a run, so the timeout
/// follows the slowest recent answers.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveTimeout {
    /// slowest answer of the current and of the previous window
    slowest: Duration,
    previous: Duration,
    /// answers in the current window
    count: u32,
    last_timeout: Option<Uptime>,
}

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        Self { slowest: INITIAL_LATENCY, previous: Duration::ZERO, count: 0, last_timeout: None }
    }
}

impl AdaptiveTimeout {
    /// Longest latency worth measuring.
    pub const MAX_MEASURED: Duration = MAX_TIMEOUT;

    /// Records the latency of a call that the backend server answers at once,
    /// also of one that had timed out.
    pub fn record_answer(&mut self, latency: Duration) {
        if self.count == WINDOW_ANSWERS {
            self.previous = self.slowest;
            self.slowest = Duration::ZERO;
            self.count = 0;
        }
        self.count += 1;
        self.slowest = self.slowest.max(latency);
    }

    pub fn record_timeout(&mut self, now: Uptime) {
        self.last_timeout = Some(now);
    }

    /// The timeout for the next call.
    pub fn limit(&self) -> Duration {
        self.slowest.max(self.previous).mul_f64(MARGIN).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Whether an answer was lost recently.
    pub fn has_recent_timeout(&self, now: Uptime) -> bool {
        self.last_timeout.is_some_and(|at| at + LOSS_PERIOD > now)
    }
}
