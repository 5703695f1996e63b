use std::{
    collections::BTreeMap,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::{Event, Name};
use wire::{AgentInfo, Load};

use super::Peer;

/// The agents that greet this entry. Nothing else lists them.
pub struct Agents {
    silence: Duration,
    peers: RwLock<BTreeMap<Name, Arc<Peer>>>,
    /// counts agents that came, changed or went
    changes: AtomicU64,
}

/// An agent and when it was last heard.
#[derive(Clone, Debug)]
pub struct Seen {
    pub info: AgentInfo,
    pub at: Instant,
}

impl Agents {
    pub fn new(silence: Duration) -> Self {
        Self { silence, peers: RwLock::default(), changes: AtomicU64::new(0) }
    }

    /// Notes a greeting.
    pub fn heard(&self, info: AgentInfo) {
        let known = self.get(&info.name);
        if known.as_ref().is_some_and(|p| p.is_ready()) && !info.load.ready {
            Event::AgentNotReady.log(format_args!("{}", info.name));
        }
        if let Some(peer) = known.filter(|p| p.is_same(&info)) {
            peer.greeted(info);
            return;
        }
        Event::AgentDiscovered.log(format_args!("{} at {}", info.name, info.address));
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.insert(info.name.clone(), Arc::new(Peer::new(info)));
        self.changes.fetch_add(1, Ordering::Release);
    }

    /// Notes the load that came with a reply.
    pub fn refresh(&self, agent: &str, load: Load) {
        if let Some(peer) = self.get(agent) {
            peer.reported(load);
        }
    }

    /// All agents of a service, by name.
    pub fn of_service(&self, service: &str) -> Vec<Arc<Peer>> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.values().filter(|p| &*p.service == service).cloned().collect()
    }

    pub fn get(&self, agent: &str) -> Option<Arc<Peer>> {
        self.peers.read().unwrap_or_else(PoisonError::into_inner).get(agent).cloned()
    }

    pub fn all(&self) -> Vec<Seen> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.values().map(|p| p.seen()).collect()
    }

    /// Grows whenever an agent comes, changes or goes.
    pub fn changes(&self) -> u64 {
        self.changes.load(Ordering::Acquire)
    }

    /// An agent unheard for this long gets no new work.
    pub fn silence(&self) -> Duration {
        self.silence
    }
}
