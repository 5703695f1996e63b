//! Load tool: sends a seeded workload to entries over HTTP, and reports outcomes
//! and response times.
//!
//! The load is open-loop: arrivals follow the plan and wait for no answer, and
//! every time is measured from the intended send, so that a stall is not hidden.
//! A run is bounded in count and time, and uses loopback addresses only.

mod app;
mod arrival;
mod caller;
mod driver;
mod percentiles;
mod plot;
mod report;
mod sample;
mod summary;
mod table;
mod targets;
mod timeline;
mod workload;

pub use app::run;
pub use arrival::{Arrival, plan};
pub use report::{Phases, Report, Teams};
pub use sample::{Outcome, Sample};
pub use workload::{Burst, Cancel, Class, Swing, Team, Workload};
