//! The path of a task to its one answer: choose an agent, offer the task, and
//! for keyed tasks follow the claim of the key at its home, the agent that
//! grants the right to start the task. A bar at the home keeps calls that were
//! received before it from starting the task.

mod admission;
mod chooser;
mod dispatcher;
mod home;
mod key_status;
mod keyed_call;
mod keys;

pub use admission::AdmissionControl;
pub use dispatcher::{Dispatcher, Error};
pub use key_status::{Counts, KeyState, KeyStatus};
pub use keys::{Key, MAX_TASKS};
