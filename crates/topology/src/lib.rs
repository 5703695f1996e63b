//! Which agents and entries stay connected: decisions without I/O, for fleets in
//! which heartbeats between every agent and every entry would cost more than
//! the work.
//!
//! An entry needs a number of agents of each service, an agent needs a few
//! entries, and neither number grows with the fleet. An entry that has enough
//! other agents tells an agent that it is surplus ([`AgentSelector`]). The agent
//! then disconnects and visits that entry now and then; it visits all such
//! entries in turn, at a rate independent of their number ([`VisitSchedule`]).
//! Both sides use the same [`rank`], so that agents first connect to entries
//! that will keep them.

mod first_by_hash;
mod rank;
mod schedule;
mod selector;

pub use first_by_hash::first_by_hash;
pub use rank::{Rank, digest, rank};
pub use schedule::{ScheduleSettings, VisitSchedule};
pub use selector::{AgentSelector, Candidate, SelectorSettings};
