use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// One life of an agent, as a roster lists it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    pub name: Name,
    /// new at every start of the process
    pub incarnation: u64,
    /// its rpc address
    pub address: SocketAddr,
    pub centre: Name,
    pub rack: Name,
}

impl Member {
    /// Whether both are the same life of the same agent.
    pub fn same_incarnation(&self, other: &Member) -> bool {
        self.incarnation == other.incarnation && self.name == other.name
    }
}
