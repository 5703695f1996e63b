//! The other agents of the service: heartbeats, permits, and the handover of
//! claims when the roster changes. The `roster` crate makes the decisions; this
//! module executes them.

mod effects;
mod homes;
mod pages;
mod state;

pub use pages::Pages;
pub use state::{Peers, Stores};
