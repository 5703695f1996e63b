//! Drained data centres: nothing may be started on their backend servers until
//! the operator takes the drain back.
//!
//! Entries read the drains from the platform's store. Entries and agents pass
//! them on with the messages that they send anyway, and keep the newest state.

mod current_drains;
mod drains;

pub use current_drains::{CurrentDrains, MAX_CENTRES};
pub use drains::{DrainedCentre, Drains};
