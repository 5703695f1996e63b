//! Who is home for a key: the roster of a service, its permits and takeovers.
//!
//! The roster is one row of the platform's table, changed by compare-and-set
//! alone. Every key has one home among its members, found by rendezvous
//! hashing, so a change of the roster moves only the keys it must move.

mod document;
mod home;
mod homes;

pub use document::{Confirmed, Mark, Roster};
pub use home::home;
pub use homes::Homes;
