//! Placement of tasks on agents and refusal of jobs: the decisions of an entry,
//! without I/O, for overloads in which short and long jobs together need more
//! than all backend servers have.
//!
//! A job has value only as a whole, and most value in time. It is therefore
//! placed as a whole where it is expected to end within its [`Objective`];
//! otherwise it waits for free capacity that no other job can use in time, or
//! is refused at once. [`Placer`] chooses the agents, and tells refused callers
//! when to retry. [`BacklogOrder`] says which of the jobs that wait may try, and
//! [`RackDemand`] measures the demand for the racks that jobs name.

mod agent_view;
mod backlog_order;
mod objective;
mod placer;
mod racks;

pub use agent_view::AgentView;
pub use backlog_order::{BacklogOrder, ClassBacklog, Position, Shape, Stage, Waiter};
pub use objective::{Objective, ObjectiveSettings};
pub use placer::{Ahead, Assignment, Demand, Goal, Placer, PlacerSettings, Plan, Refusal, Turn};
pub use racks::RackDemand;
