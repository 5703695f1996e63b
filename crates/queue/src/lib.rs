//! Queueing disciplines of an agent: which task runs next, and which tasks are
//! refused.
//!
//! Times are passed in by the caller. `ClassQueue` classifies operations as
//! short or long by their observed run times, reserves slots for short ones and
//! never starts a task that can't end by its deadline. `Fifo` is the baseline.

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
