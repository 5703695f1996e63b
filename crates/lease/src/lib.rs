//! Runs of tasks under leases: the decisions of an agent, without network,
//! timers or threads.
//!
//! An agent works for an entry only while it knows that the entry is alive,
//! and a backend server runs a task only while the agent renews its lease.
//! The runs of an entry that died therefore end within a bounded time, whatever
//! else fails, and their tasks may start again elsewhere. [`LeaseTimings`]
//! derives the durations; [`Scheduler`] holds the runs, the queue and the
//! sessions of one agent.

mod adaptive_timeout;
mod batch;
mod class;
mod health;
mod life;
mod listing;
mod load;
mod order;
mod phase;
mod plan;
mod queue;
mod resources;
mod run;
mod scheduler;
mod session;
mod shares;
mod speed;
mod start_rates;
mod suspicions;
mod timings;

pub use adaptive_timeout::AdaptiveTimeout;
pub use batch::{
    Batch, BatchKey, BatchLookup, BatchStatus, BatchTask, Crash, CrashReport, Ending, Progress,
    TaskResult,
};
pub use class::{CLASSES, Class};
pub use health::HealthSettings;
pub use listing::{EndCause, Listing, RunEnd, RunProgress};
pub use load::{AgentLoad, ClassStats};
pub use order::{
    Delivery, Effect, RefusalReason, RunKey, StartOrder, StartOutcome, StopOrder, TaskRef,
};
pub use phase::Phase;
pub use resources::Resources;
pub use scheduler::{CentreState, Scheduler, SchedulerSettings};
pub use session::SessionId;
pub use timings::{LeaseBounds, LeaseTimings};

/// Errors in the settings of leases.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error(
        "leases need resend_ms over {least_ms} and hold_ms of {hold_ms} or more, \
         so that runs end before a caller sends its job again"
    )]
    TooTight { least_ms: u128, hold_ms: u128 },
}

pub type Result<T> = std::result::Result<T, Error>;
