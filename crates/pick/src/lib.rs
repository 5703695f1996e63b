//! The choice of an agent for a task.
//!
//! `ExpectedWait` weighs a few candidates by how long the task would wait and
//! run there. Random, round robin and least outstanding are the baselines. The
//! candidates are read through a trait, so that a choice looks at a few of
//! them however many there are.

mod candidates;
mod ejector;
mod expected;
mod policy;
mod simple;

pub use candidates::{Candidates, View};
pub use ejector::{Ejector, EjectorSettings, Standing};
pub use expected::{ExpectedWait, Settings};
pub use policy::Policy;
pub use simple::{LeastOutstanding, Random, RoundRobin};
