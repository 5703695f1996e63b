//! From a task to its one answer: picking an agent, offering, waiting.

mod chooser;
mod dispatcher;
mod links;

pub use dispatcher::{Dispatcher, Error};
