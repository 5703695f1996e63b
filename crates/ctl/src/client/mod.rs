//! Clients of the platform and of an entry.

mod entry;
mod fleet;

pub use entry::{Entry, Reply};
pub use fleet::{Author, Fleet};
