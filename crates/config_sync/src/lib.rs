//! Transfer of the fleet configuration between processes.
//!
//! Heartbeats carry only its version. A process that is behind calls one entry at a
//! time over a connection of its own, so that a large document delays neither
//! heartbeats nor tasks, and an entry sends one document at a time.

mod exchange;
mod slot;

pub use exchange::{ConfigExchange, ExchangeSettings};
pub use slot::{SlotSettings, TransferSlot};
