//! Settings of each program, read from a JSON file and validated, and the fleet
//! configuration that operators change through the platform's table.

mod fleet;
mod leased;
mod settings;

pub use fleet::{
    Change, CurrentFleet, EffectiveValues, EntryProcess, EntryRow, Exception, Field, FleetConfig,
    MAX_HISTORY, Queue, QueueRank, Service, Snapshot, Team, Values, name_fault, parse,
};
pub use leased::{DispatchSettings, LeaseSettings, RunnerSettings, VisitSettings};
pub use settings::{
    AgentSettings, BalancingPolicy, EntrySettings, Fault, QueuePolicy, Validate, load,
};

/// Errors in settings files and in the fleet configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("can't read settings file {path}: {reason}")]
    Read { path: String, reason: String },
    #[error("settings file {path}: {reason}")]
    Parse { path: String, reason: String },
    #[error("settings file {path} has {} fault(s):\n{}", faults.len(), list(faults))]
    Faults { path: String, faults: Vec<Fault> },
    #[error("fleet configuration has {} fault(s):\n{}", .0.len(), list(.0))]
    Document(Vec<Fault>),
}

pub type Result<T> = std::result::Result<T, Error>;

fn list(faults: &[Fault]) -> String {
    let lines: Vec<String> =
        faults.iter().map(|f| format!("  {}: {}", f.field, f.reason)).collect();
    lines.join("\n")
}
