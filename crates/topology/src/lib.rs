//! Which agents and entries keep in touch: pure decisions for a fleet in which
//! greetings between every agent and every entry would cost more than the work.
//!
//! An entry needs a number of agents of each service, an agent needs a few
//! entries, and neither number grows with the fleet. An entry tells an agent
//! that it is spare when it has enough others ([`Circle`]); the agent leaves
//! and comes to see that entry now and then, all entries in turn at a pace
//! that doesn't grow with them ([`Rounds`]). Both go by the same [`rank`], so
//! that agents first meet entries that will keep them.

mod rank;
mod schedule;
mod selector;

pub use rank::{Rank, digest, rank};
pub use schedule::{ScheduleSettings, VisitSchedule};
pub use selector::{AgentSelector, Candidate, SelectorSettings};
