//! From a task to its one answer: picking an agent, offering, waiting.

mod dispatcher;
mod links;
mod pick;

pub use dispatcher::{Dispatcher, Error};
