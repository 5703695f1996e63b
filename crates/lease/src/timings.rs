use std::time::Duration;

use base::Uptime;

use crate::{Error, Result};

/// Time on our clock over time on the slowest clock of a backend server.
const MAX_CLOCK_RATIO: f64 = 1.02;
/// For timers that fire late and messages in flight.
const DELIVERY_MARGIN: Duration = Duration::from_millis(150);
/// Shorter sessions expire on a healthy machine under load.
const MIN_SESSION_TTL: Duration = Duration::from_millis(200);

/// Bounds given by the platform, from which the timings follow.
#[derive(Clone, Debug)]
pub struct LeaseBounds {
    /// time after which a caller whose connection broke sends its job again
    pub resend_delay: Duration,
    /// longest lease that a backend server accepts
    pub max_lease: Duration,
    /// longest time a backend server takes to stop a run
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

/// Durations of an entry's session with an agent and of the lease that the
/// agent renews at its backend server.
///
/// In the worst case an entry dies, and its agent freezes just before the
/// session expires, right after it renewed the lease. The runs then end after
/// `session_ttl + lease_ttl * 1.02`, which must pass before the caller sends
/// the job to another entry. The next process of an agent gives no lease while
/// runs of the former one go on, so these end as early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimings {
    /// how long an agent works for an entry after it last knew it to be alive
    pub session_ttl: Duration,
    /// how long a backend server goes on running tasks after a renewal
    pub lease_ttl: Duration,
    /// time after which no run of an entry goes on, since it was last known
    /// to be alive
    pub run_expiry: Duration,
}

impl LeaseTimings {
    /// # Errors
    /// When the bounds leave too little time for the session and the lease.
    pub fn new(bounds: &LeaseBounds) -> Result<Self> {
        let fixed = bounds.stop_time + DELIVERY_MARGIN;
        let ttl = bounds
            .resend_delay
            .saturating_sub(fixed)
            .div_f64(1.0 + MAX_CLOCK_RATIO)
            .min(bounds.max_lease.div_f64(MAX_CLOCK_RATIO));
        // the backend server's protocol counts in whole milliseconds
        let ttl = Duration::from_millis(ttl.as_millis() as u64);
        if ttl < MIN_SESSION_TTL {
            let least = MIN_SESSION_TTL.mul_f64(1.0 + MAX_CLOCK_RATIO) + fixed;
            let hold = MIN_SESSION_TTL.mul_f64(MAX_CLOCK_RATIO);
            return Err(Error::TooTight { least_ms: least.as_millis(), hold_ms: hold.as_millis() });
        }
        Ok(Self {
            session_ttl: ttl,
            lease_ttl: ttl,
            run_expiry: ttl + Self::worst_case_expiry(ttl) + fixed,
        })
    }

    /// Time on our clock after which a lease of `ttl` has expired on the
    /// slowest clock.
    pub fn worst_case_expiry(ttl: Duration) -> Duration {
        ttl.mul_f64(MAX_CLOCK_RATIO)
    }

    /// Time between extensions of a session that work depends on; it survives
    /// three lost ones in a row.
    pub fn heartbeat_interval(&self) -> Duration {
        self.session_ttl / 4
    }

    /// Time between reports of an agent's load to an entry, which also show the
    /// entry that the agent is alive.
    pub fn report_interval(&self) -> Duration {
        self.session_ttl / 2
    }

    /// Time without a report after which an agent gets no work; longer than two
    /// intervals, as a single report may be delayed.
    pub fn report_timeout(&self) -> Duration {
        self.report_interval() * 5 / 2
    }

    /// When an agent sends its next heartbeat to an entry: with a report of its
    /// load, or earlier to extend a session that open work depends on. Calls of
    /// the entry extend the session too.
    pub fn heartbeat_due(
        &self,
        last_report: Uptime,
        last_seen: Option<Uptime>,
        has_open_work: bool,
    ) -> Uptime {
        let report = last_report + self.report_interval();
        let Some(last_seen) = last_seen.filter(|_| has_open_work) else { return report };
        report.min(last_seen + self.heartbeat_interval())
    }

    /// Longest time that the answer to a renewal may be delayed until a run
    /// ends; a lost answer and a retry fit into the lease.
    pub fn renewal_interval(&self) -> Duration {
        self.lease_ttl / 5
    }

    /// The same while no run is active. A start gives a lease of its own, which
    /// lasts until the listing returns and renews it.
    pub fn idle_renewal_interval(&self) -> Duration {
        self.lease_ttl / 2
    }
}
