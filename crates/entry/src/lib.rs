//! The entry: takes requests and jobs from callers over HTTP, offers their
//! tasks to agents, and gives each caller exactly one final answer.

mod app;
mod call;
mod counts;
mod fleet;
mod http;
mod metrics;
mod rpc;

pub use app::run;
pub use call::{KeyState, KeyStatus};
pub use counts::{CountWriter, SharedCounts};
pub use fleet::{Agents, Endpoints, EntryList, Registrar, Rosters};
