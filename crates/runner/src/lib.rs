//! The agent beside a backend server with leases: executes what the scheduler
//! of `lease` decides, over links to entries and a [`Backend`].

mod backend;
mod driver;
mod entry_sessions;
mod identity;
mod link_state;
mod metrics;
mod worker;

pub use backend::{Announcement, Backend, Error, Renewal, RenewalReply, Result, Terms};
pub use driver::Driver;
pub use entry_sessions::EntrySessions;
pub use identity::Identity;
pub use metrics::Metrics;
