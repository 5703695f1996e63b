use std::time::Duration;

use crate::{Error, Result};

/// Slowest clock of a backend server against ours.
const CLOCK_SLACK: f64 = 1.02;
/// For timers that fire late and messages on their way.
const DELIVERY: Duration = Duration::from_millis(150);
/// Shorter sessions would lapse on a busy machine that is sound.
const SHORTEST: Duration = Duration::from_millis(200);

/// Bounds that the chain of leases follows from.
#[derive(Clone, Debug)]
pub struct LeaseBounds {
    /// a caller whose connection broke sends its job again after this
    pub resend_delay: Duration,
    /// longest lease that a backend server grants
    pub max_lease: Duration,
    /// longest time that a backend server takes to stop a run
    pub stop_time: Duration,
}

impl Default for LeaseBounds {
    fn default() -> Self {
        Self {
            resend_delay: Duration::from_millis(1300),
            max_lease: Duration::from_millis(1000),
            stop_time: Duration::from_millis(50),
        }
    }
}

/// Lengths of the leases from an entry through an agent to a backend server.
///
/// The worst case: an entry dies, and its agent freezes just before the
/// session lapses, right after it renewed the lease of the backend server.
/// Then the runs end after `session + hold * 1.02`, which must be over before
/// the caller sends the job to another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimings {
    /// an agent works for an entry for so long after it last knew it alive
    pub session_ttl: Duration,
    /// a backend server runs what it has for so long after a renewal
    pub lease_ttl: Duration,
    /// all runs of an entry are over so long after it was last known alive
    pub run_expiry: Duration,
}

impl LeaseTimings {
    /// # Errors
    /// When the bounds leave too little time for both leases.
    pub fn new(settings: &LeaseBounds) -> Result<Self> {
        let fixed = settings.stop_time + DELIVERY;
        let hold = settings
            .resend_delay
            .saturating_sub(fixed)
            .div_f64(1.0 + CLOCK_SLACK)
            .min(settings.max_lease.div_f64(CLOCK_SLACK));
        // whole milliseconds, as backend servers count them
        let hold = Duration::from_millis(hold.as_millis() as u64);
        if hold < SHORTEST {
            let least = SHORTEST.mul_f64(1.0 + CLOCK_SLACK) + fixed;
            let hold = SHORTEST.mul_f64(CLOCK_SLACK);
            return Err(Error::TooTight { least_ms: least.as_millis(), hold_ms: hold.as_millis() });
        }
        Ok(Self {
            session_ttl: hold,
            lease_ttl: hold,
            run_expiry: hold + Self::worst_case_expiry(hold) + fixed,
        })
    }

    /// When a lease given for `hold` has lapsed, by the slowest clock.
    pub fn worst_case_expiry(hold: Duration) -> Duration {
        hold.mul_f64(CLOCK_SLACK)
    }

    /// How often a live session is extended: three misses in a row are borne.
    pub fn heartbeat_interval(&self) -> Duration {
        self.session_ttl / 4
    }

    /// How long a renewal of leases may wait for news: a missing answer and
    /// another try fit into the lease.
    pub fn renewal_interval(&self) -> Duration {
        self.lease_ttl / 5
    }
}
