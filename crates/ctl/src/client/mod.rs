//! What the commands and queries talk to: the platform's table and an entry.

mod entry;
mod fleet;

pub use entry::{Entry, Reply};
pub use fleet::{Author, Fleet};
