//! Running tasks: the queue, the slots, and calls to the backend server.

mod backend;
mod message;
mod runner;

pub use message::{Announce, Drain, Inspect, Leave, Offer};
pub use runner::Runner;
