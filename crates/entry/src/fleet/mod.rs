//! The entry's view of the fleet: the agents that send it heartbeats, the other
//! entries, the rosters and the fleet configuration in force.

mod agent;
mod agents;
mod entry_list;
mod lost_agents;
mod registrar;
mod rosters;
mod watcher;

pub use agent::Agent;
pub use agents::{Agents, LastHeartbeat};
pub use conf::CurrentFleet;
pub use entry_list::EntryList;
pub use lost_agents::log_lost_agents;
pub use registrar::{Endpoints, Registrar};
pub use rosters::Rosters;
pub use watcher::ConfigWatcher;
