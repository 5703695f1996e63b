use std::time::Duration;

use base::Name;
use futures::future::LocalBoxFuture;
use lease::{Listing, RefusalReason, Resources, StartOrder, StopOrder};

/// What can go wrong between an agent and its backend server.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// nothing was done
    #[error("backend server refused: {why:?}")]
    Refused { why: RefusalReason, clock: Option<Duration> },
    /// nothing was sent
    #[error("backend server can't be reached: {0}")]
    Unreachable(String),
    /// what was asked for may be done, also later
    #[error("backend server gave no answer: {0}")]
    Indeterminate(String),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Under what terms an order holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// end of the lease, on the backend server's clock
    pub lease_end: Duration,
    pub fence: u64,
}

/// Renewal of the lease of all that runs, and request for a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// end of the lease, on the backend server's clock; `None` lets it lapse
    pub lease_end: Option<Duration>,
    pub fence: u64,
    /// newest end that was taken note of
    pub acked: u64,
    /// how long the answer may wait for news
    pub wait: Duration,
}

/// Answer to a renewal.
#[derive(Clone, Debug)]
pub struct RenewalReply {
    /// the backend server's clock
    pub clock: Duration,
    pub listing: Listing,
}

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    pub id: Name,
    /// start of this life, unix milliseconds
    pub started_ms: u64,
    /// rises in one life
    pub sequence: u64,
    pub capacity: Resources,
    pub labels: Vec<Name>,
    /// takes no new work
    pub draining: bool,
}

/// A backend server that runs tasks under leases.
pub trait Backend {
    /// Starts a run; gives the backend server's clock.
    fn start<'a>(
        &'a self,
        order: &'a StartOrder,
        terms: Terms,
    ) -> LocalBoxFuture<'a, Result<Duration>>;

    /// Stops a run, or voids an order that may still come.
    fn stop<'a>(&'a self, order: &'a StopOrder, fence: u64) -> LocalBoxFuture<'a, Result<()>>;

    fn renew(&self, renew: Renewal) -> LocalBoxFuture<'_, Result<RenewalReply>>;

    /// Orders are meant for this life only.
    fn set_instance(&self, id: &Name);
}
