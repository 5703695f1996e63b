//! Subcommands that only read. Each prints a table, or JSON with `--json`.

mod agents;
mod burn;
mod defaults;
mod entries;
mod exceptions;
mod format;
mod history;
mod report;
mod roster;
mod services;
mod status;

pub use agents::agents;
pub use burn::burn;
pub use defaults::defaults;
pub use entries::entries;
pub use exceptions::exceptions;
pub use format::{Format, format};
pub use history::history;
pub use report::{AgentFilter, agent_filter, backlog, confined, drained, jobs, leased, racks};
pub use roster::roster;
pub use services::services;
pub use status::status;
