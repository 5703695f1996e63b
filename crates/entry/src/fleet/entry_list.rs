use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{PoisonError, RwLock},
};

/// RPC addresses of the live entries, as the platform's table lists them.
#[derive(Default)]
pub struct EntryList {
    addresses: RwLock<BTreeSet<SocketAddr>>,
}

impl EntryList {
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        addresses.iter().copied().collect()
    }

    pub fn replace(&self, addresses: BTreeSet<SocketAddr>) {
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}
