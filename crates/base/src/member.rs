use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// One incarnation of an agent, as listed in a roster.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    pub name: Name,
    /// new at each start of the process
    pub incarnation: u64,
    /// RPC address
    pub address: SocketAddr,
    pub centre: Name,
    pub rack: Name,
}

impl Member {
    /// Whether both are the same incarnation of the same agent.
    pub fn same_incarnation(&self, other: &Member) -> bool {
        self.incarnation == other.incarnation && self.name == other.name
    }
}
