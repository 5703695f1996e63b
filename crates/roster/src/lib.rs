//! Who is home for a key: the roster of a service, its permits and takeovers.
//!
//! The roster is one row of the platform's table, changed by compare-and-set
//! alone. Every key has one home among its members, found by rendezvous
//! hashing, so a change of the roster moves only the keys it must move.

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

/// What can go wrong with the document of a roster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("a loss is confirmed with a written reason")]
    NoReason,
    #[error("roster can't be read: {0}")]
    Malformed(String),
    #[error("{0} is not a member of the roster")]
    NotListed(Name),
}

pub type Result<T> = std::result::Result<T, Error>;
