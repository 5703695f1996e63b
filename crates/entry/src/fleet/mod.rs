//! What an entry knows: the agents that greet it, the other entries, and the
//! fleet configuration in force.

mod agents;
mod peer;
mod peers;
mod registrar;
mod rosters;
mod silence;
mod watcher;

pub use agents::{Agents, Seen};
pub use conf::CurrentFleet;
pub use peer::Peer;
pub use peers::EntryList;
pub use registrar::{Endpoints, Registrar};
pub use rosters::Rosters;
pub use silence::watch_silence;
pub use watcher::Watcher;
