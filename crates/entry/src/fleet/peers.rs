use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{PoisonError, RwLock},
};

/// Entries that the platform's table lists, by their rpc addresses.
#[derive(Default)]
pub struct Peers {
    known: RwLock<BTreeSet<SocketAddr>>,
}

impl Peers {
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        known.iter().copied().collect()
    }

    pub fn replace(&self, known: BTreeSet<SocketAddr>) {
        *self.known.write().unwrap_or_else(PoisonError::into_inner) = known;
    }
}
