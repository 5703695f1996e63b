//! Load balancing: the choice of an agent for a task.
//!
//! `ExpectedWait` compares a random sample of agents by how long the task would
//! wait and run there. Random, round robin and least outstanding are baselines.
//! Agents are read through a trait, so that the cost of a choice does not grow
//! with their number.

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
