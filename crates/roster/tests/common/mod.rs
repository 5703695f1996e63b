//! Members over a bag of messages, with the real claim table and records, for
//! the random model and the schedules written by hand.

mod node;
mod world;

pub use world::{Counts, World, settings};
