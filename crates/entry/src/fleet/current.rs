use std::sync::{Arc, PoisonError, RwLock};

use base::Event;
use conf::Fleet;

/// The fleet configuration in force in this process; its version never falls.
#[derive(Default)]
pub struct Current {
    inner: RwLock<Arc<Snapshot>>,
}

/// One version of the fleet configuration.
#[derive(Debug, Default)]
pub struct Snapshot {
    pub version: u64,
    pub fleet: Fleet,
}

impl Current {
    pub fn get(&self) -> Arc<Snapshot> {
        self.inner.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a newer version in force; an older one is left aside.
    pub fn offer(&self, version: u64, document: &str) {
        if version <= self.get().version {
            return;
        }
        let fleet = match serde_json::from_str(document) {
            Ok(fleet) => fleet,
            Err(e) => {
                Event::FleetRefused.log(format_args!("version {version}: {e}"));
                return;
            }
        };
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        if version > inner.version {
            *inner = Arc::new(Snapshot { version, fleet });
            Event::FleetChanged.log(format_args!("version {version}"));
        }
    }
}
