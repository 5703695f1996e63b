use std::time::Duration;

use base::Name;
use futures::future::LocalBoxFuture;
use lease::{Listing, RefusalReason, Resources, StartOrder, StopOrder};

/// Failure of a call to the backend server.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// the call had no effect
    #[error("backend server refused: {reason:?}")]
    Refused { reason: RefusalReason, clock: Option<Duration> },
    /// nothing was sent
    #[error("backend server can't be reached: {0}")]
    Unreachable(String),
    /// nothing was sent, as nothing listens at its address
    #[error("backend server does not listen: {0}")]
    NotListening(String),
    /// the connection ended before the answer; the call may have taken effect
    #[error("backend server has closed the connection: {0}")]
    Disconnected(String),
    /// the call may have taken effect, or may still do so
    #[error("backend server gave no answer: {0}")]
    Indeterminate(String),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Lease and fencing token of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// end of the lease, on the backend server's clock
    pub lease_end: Duration,
    pub fence: u64,
}

/// Renewal of the lease of all runs, and request for a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// end of the lease, on the backend server's clock; `None` lets it expire
    pub lease_end: Option<Duration>,
    pub fence: u64,
    /// number of the newest end of a run that was processed
    pub acked: u64,
    /// how long the answer may wait for a change
    pub wait: Duration,
}

/// Answer to a renewal.
#[derive(Clone, Debug)]
pub struct RenewalReply {
    /// the backend server's clock
    pub clock: Duration,
    pub listing: Listing,
    /// ends that can't be read are left out; they stay listed, so no answer waits for others
    pub has_odd_ends: bool,
}

/// Description that a backend server announces of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    pub id: Name,
    /// start of this incarnation, Unix time
    pub started_ms: u64,
    /// rises with each announcement of one incarnation
    pub sequence: u64,
    pub capacity: Resources,
    pub labels: Vec<Name>,
    /// takes no new work
    pub draining: bool,
    /// least time until it exits, while it drains
    pub remaining: Option<Duration>,
    /// how much longer it is slow after its start
    pub cold_remaining: Duration,
}

/// Backend server that runs tasks under leases.
pub trait Backend {
    /// Starts a run; returns the backend server's clock.
    fn start<'a>(
        &'a self,
        order: &'a StartOrder,
        terms: Terms,
    ) -> LocalBoxFuture<'a, Result<Duration>>;

    /// Stops a run, or voids a start order that may still arrive.
    fn stop<'a>(&'a self, order: &'a StopOrder, fence: u64) -> LocalBoxFuture<'a, Result<()>>;

    /// Renews the lease of all runs and returns a listing of them.
    fn renew(&self, renewal: Renewal) -> LocalBoxFuture<'_, Result<RenewalReply>>;

    /// Addresses calls to the life of the backend server with this id only; to any if `None`.
    fn set_instance(&self, id: Option<&Name>);
}
