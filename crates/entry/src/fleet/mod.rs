//! What an entry knows: the agents that greet it, and the fleet configuration
//! in force.

mod agents;
mod peer;
mod rosters;
mod watcher;

pub use agents::Agents;
pub use conf::Current;
pub use peer::Peer;
pub use rosters::Rosters;
pub use watcher::Watcher;
