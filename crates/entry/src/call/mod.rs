//! From a task to its one answer: picking an agent, offering, following the
//! claim of its key, waiting.

mod chooser;
mod dispatcher;
mod gate;
mod home;
mod keyed;
mod keys;

pub use dispatcher::{Dispatcher, Error};
pub use gate::Gate;
pub use keys::{Key, KeyState, Tally};
