//! What an entry knows: the agents that greet it, and the fleet configuration
//! in force.

mod agents;
mod watcher;

pub use agents::Agents;
pub use conf::Current;
pub use watcher::Watcher;
