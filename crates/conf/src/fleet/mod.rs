//! The fleet configuration: one document in one row of the platform's table.
//! Values apply to the whole fleet, and a short list of exceptions overrides
//! them for single services. The version of the row is the version of the
//! document.

mod change;
mod check;
mod current;
mod document;
mod entry_row;
mod read;
mod values;

pub use change::{Change, MAX_HISTORY};
pub use check::{name_fault, parse};
pub use current::{CurrentFleet, Snapshot};
pub use document::{Exception, FleetConfig, Queue, QueueRank, Service, Team};
pub use entry_row::{EntryProcess, EntryRow};
pub use values::{EffectiveValues, Field, Values};
