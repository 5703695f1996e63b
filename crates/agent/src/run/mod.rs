//! Running tasks: the claims, the queue, the slots, and calls to the backend
//! server.

mod backend;
mod message;
mod runner;
mod waiting;

pub use message::{
    Announce, Attach, Cancel, Drain, Inspect, Kept, Leave, Limits, Offer, Remembered, Response,
    Status,
};
pub use runner::{Claims, Runner};
