//! Where the tasks of a job go, and which jobs are refused: pure decisions of
//! an entry, made for a crest in which short and long jobs together ask for
//! more than all backend servers have.
//!
//! A job is worth something only as a whole, and most in time. So it is placed
//! as a whole where it is expected to end within its [`Objective`]; if there is
//! no such place, it waits for room that nobody else wants, or is refused at
//! once. [`Placer`] finds the places, and says when it is worth coming back.

mod agent_view;
mod objective;
mod placer;

pub use agent_view::AgentView;
pub use objective::{Objective, ObjectiveSettings};
pub use placer::{Assignment, Demand, Goal, Placer, PlacerSettings, Plan, Refusal};
