use std::time::Duration;

use base::Uptime;

/// Shortest and longest time that an answer is waited for.
const SHORTEST: Duration = Duration::from_millis(15);
const LONGEST: Duration = Duration::from_millis(100);
/// Assumed before the first answer.
const FIRST: Duration = Duration::from_millis(25);
/// Beyond the slowest answer of late.
const MARGIN: f64 = 1.3;
/// Answers in a window; the slowest of this one and the one before counts. A
/// backend server may take several times as long for one call in a hundred,
/// so a mean and its deviation tell too little.
const WINDOW: u32 = 300;
/// How long a missing answer makes further ones likely.
const TROUBLE: Duration = Duration::from_secs(4);

/// How long answers of a backend server are worth waiting for. An answer that
/// is lost costs the whole limit, one given up too early a run; so the limit
/// follows the slowest answers of late.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveTimeout {
    /// slowest answer of this window and of the one before
    slowest: Duration,
    before: Duration,
    /// answers in this window
    count: u32,
    missed: Option<Uptime>,
}

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        Self { slowest: FIRST, before: Duration::ZERO, count: 0, missed: None }
    }
}

impl AdaptiveTimeout {
    /// Longest time after which an answer still tells how long they take.
    pub const MAX_MEASURED: Duration = LONGEST;

    /// Notes an answer to a call that waited for nothing, also one that was
    /// given up.
    pub fn record_answer(&mut self, took: Duration) {
        if self.count == WINDOW {
            self.before = self.slowest;
            self.slowest = Duration::ZERO;
            self.count = 0;
        }
        self.count += 1;
        self.slowest = self.slowest.max(took);
    }

    /// Notes that no answer came in time.
    pub fn record_timeout(&mut self, now: Uptime) {
        self.missed = Some(now);
    }

    /// Longest wait for an answer.
    pub fn limit(&self) -> Duration {
        self.slowest.max(self.before).mul_f64(MARGIN).clamp(SHORTEST, LONGEST)
    }

    /// Whether answers went missing lately.
    pub fn has_recent_timeout(&self, now: Uptime) -> bool {
        self.missed.is_some_and(|at| at + TROUBLE > now)
    }
}
