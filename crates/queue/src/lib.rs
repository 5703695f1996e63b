//! The queue of one agent: which task runs next, and when a task is refused.
//!
//! Time is passed in and nothing is measured here. `Classed` tells short work
//! from long by the run times it has observed, keeps slots for short work and
//! never starts what can't end by its deadline. `Fifo` is the plain baseline.

mod class_queue;
mod classifier;
mod discipline;
mod fifo;
mod histogram;
mod settings;

pub use class_queue::ClassQueue;
pub use classifier::{Class, Classifier};
pub use discipline::{ClassLoad, Discipline, PopResult, Refused, RunKey, Start, TaskInfo, Ticket};
pub use fifo::Fifo;
pub use histogram::Histogram;
pub use settings::Settings;
