//! The other agents of the service: heartbeats, permits, and the handover of
//! claims when the roster changes. What is decided stands in the `roster`
//! crate; here it is carried out.

mod effects;
mod homes;
mod pages;
mod state;

pub use state::{Peers, Stores};
