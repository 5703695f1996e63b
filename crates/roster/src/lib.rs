//! Membership protocol of a service: which agent is the home of a key, when it
//! may act as home, and how a new home takes over.
//!
//! The roster is one row of the platform's table, changed only by
//! compare-and-set. Rendezvous hashing assigns every key one home among the
//! members, so a change of the roster moves as few keys as possible.

mod change;
mod contacts;
mod document;
mod effect;
mod heartbeat;
mod history;
mod home;
mod homes;
mod membership;
mod settings;
mod takeover;

use base::Name;

pub use change::{Proposal, SoleMember};
pub use document::{ConfirmedLoss, Roster, SettledChange};
pub use effect::{Effect, Now};
pub use heartbeat::Heartbeat;
pub use home::home;
pub use homes::Homes;
pub use membership::{Handover, Membership};
pub use settings::{Rule, Settings};

/// Faults of a roster document and of its changes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("confirming a loss needs a reason")]
    NoReason,
    #[error("roster can't be read: {0}")]
    Malformed(String),
    #[error("{0} is not a member of the roster")]
    NotListed(Name),
}

pub type Result<T> = std::result::Result<T, Error>;
