//! Running tasks: the claims, the queue, the slots, and calls to the backend
//! server.

mod backend;
mod message;
mod runner;
mod pending;

pub use message::{
    Announce, Attach, Cancel, Drain, HandOver, Inspect, Kept, Leave, Limits, Offer, Remembered,
    Renew, Response, Status,
};
pub use runner::{Claims, Runner};
