//! The choice of an agent for a task.
//!
//! `ExpectedWait` weighs a few candidates by how long the task would wait and
//! run there. Random, round robin and least outstanding are the baselines. The
//! candidates are read through a trait, so that a choice looks at a few of
//! them however many there are.

mod baselines;
mod candidates;
mod ejector;
mod expected_wait;
mod policy;

pub use baselines::{LeastOutstanding, Random, RoundRobin};
pub use candidates::{AgentView, Candidates};
pub use ejector::{AgentStatus, Ejector, EjectorSettings};
pub use expected_wait::{ExpectedWait, ExpectedWaitSettings};
pub use policy::Policy;
