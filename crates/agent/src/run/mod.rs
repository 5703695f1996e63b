//! Running tasks: claims, queue, slots and calls to the backend server.

mod backend;
mod message;
mod pending;
mod runner;

pub use message::{
    Announce, Attach, BeginIncarnation, Cancel, Drain, GetLoad, GetMemoryUse, GetStage, HandOver,
    Leave, Limits, MemoryUse, Offer, Response,
};
pub use runner::{Claims, Runner};
