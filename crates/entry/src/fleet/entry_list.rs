use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{PoisonError, RwLock},
};

/// Entries that the platform's table lists, by their rpc addresses.
#[derive(Default)]
pub struct EntryList {
    known: RwLock<BTreeSet<SocketAddr>>,
}

impl EntryList {
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        known.iter().copied().collect()
    }

    pub fn replace(&self, known: BTreeSet<SocketAddr>) {
        *self.known.write().unwrap_or_else(PoisonError::into_inner) = known;
    }
}
