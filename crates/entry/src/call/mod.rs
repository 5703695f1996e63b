//! From a task to its one answer: picking an agent, offering, following the
//! claim of its key, waiting.

mod admission;
mod chooser;
mod dispatcher;
mod home;
mod keyed_call;
mod keys;

pub use admission::AdmissionControl;
pub use dispatcher::{Dispatcher, Error};
pub use keys::{Key, KeyState, KeyStatus};
