//! Load tool: drives entries over HTTP with a seeded workload and reports how
//! the answers came back.
//!
//! The load is open-loop: arrivals follow the plan and wait for no answer, and
//! every time is counted from the intended send, so a stall is not hidden. The
//! run is bounded in count and time, stops by itself, and goes to loopback
//! addresses alone.

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
pub use sample::{Ended, Sample};
pub use workload::{Burst, Cancel, Class, Swing, Team, Workload};
