use std::{
    collections::BTreeMap,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
};

use base::{Event, Name, invariant};

use super::{FleetConfig, QueueRank, read::read};

/// The fleet configuration in force in this process; its version never decreases.
#[derive(Default)]
pub struct CurrentFleet {
    inner: RwLock<Arc<Snapshot>>,
    /// highest version that couldn't be read
    unreadable_version: AtomicU64,
}

/// One version of the fleet configuration.
#[derive(Debug, Default)]
pub struct Snapshot {
    pub version: u64,
    pub fleet: FleetConfig,
    /// the document as the platform's table holds it
    pub text: Arc<str>,
    ranks: BTreeMap<Name, QueueRank>,
}

impl Snapshot {
    /// Rank of a queue among those of its service.
    pub fn queue_rank(&self, queue: &str) -> QueueRank {
        self.ranks.get(queue).copied().unwrap_or_default()
    }
}

impl CurrentFleet {
    pub fn get(&self) -> Arc<Snapshot> {
        self.inner.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub fn version(&self) -> u64 {
        self.get().version
    }

    /// Highest version offered so far, readable or not.
    pub fn highest_offered(&self) -> u64 {
        self.version().max(self.unreadable_version.load(Ordering::Relaxed))
    }

    /// Puts a newer version in force and ignores an older one.
    pub fn offer(&self, version: u64, document: &str) {
        if version <= self.version() {
            return;
        }
        let (fleet, adjusted) = match read(document) {
            Ok(read) => read,
            Err(e) => return self.reject(version, &e),
        };
        if !adjusted.is_empty() {
            let adjusted = crate::list(&adjusted);
            Event::FleetConfigAdjusted.log(format_args!("version {version}:\n{adjusted}"));
        }
        let ranks = fleet.queue_ranks();
        self.replace(Snapshot { version, fleet, text: document.into(), ranks });
    }

    fn replace(&self, next: Snapshot) {
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        // another thread may have put a newer version in force meanwhile
        if next.version <= inner.version {
            return;
        }
        let version = next.version;
        *inner = Arc::new(next);
        drop(inner);
        Event::FleetConfigApplied.log(format_args!("version {version}"));
        invariant!(self.version() >= version, "configuration fell below version {version}");
    }

    fn reject(&self, version: u64, error: &crate::Error) {
        if self.unreadable_version.fetch_max(version, Ordering::Relaxed) < version {
            Event::FleetConfigUnreadable.log(format_args!("version {version}: {error}"));
        }
    }
}
