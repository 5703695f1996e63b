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

use super::Agent;

/// The agents that greet this entry. Nothing else lists them.
pub struct Agents {
    heartbeat_timeout: Duration,
    peers: RwLock<BTreeMap<Name, Arc<Agent>>>,
    /// counts agents that came, changed or went
    generation: AtomicU64,
}

/// An agent and when it was last heard.
#[derive(Clone, Debug)]
pub struct LastHeartbeat {
    pub info: AgentInfo,
    pub at: Instant,
}

impl Agents {
    pub fn new(silence: Duration) -> Self {
        Self { heartbeat_timeout: silence, peers: RwLock::default(), generation: AtomicU64::new(0) }
    }

    /// Notes a greeting.
    pub fn on_heartbeat(&self, info: AgentInfo) {
        let known = self.get(&info.name);
        if known.as_ref().is_some_and(|p| p.is_ready()) && !info.load.ready {
            Event::AgentNotReady.log(format_args!("{}", info.name));
        }
        if let Some(peer) = known.filter(|p| p.is_same_incarnation(&info)) {
            peer.on_heartbeat(info);
            return;
        }
        Event::AgentDiscovered.log(format_args!("{} at {}", info.name, info.address));
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.insert(info.name.clone(), Arc::new(Agent::new(info)));
        self.generation.fetch_add(1, Ordering::Release);
    }

    /// Notes the load that came with a reply.
    pub fn update_load(&self, agent: &str, load: Load) {
        if let Some(peer) = self.get(agent) {
            peer.update_load(load);
        }
    }

    /// All agents of a service, by name.
    pub fn of_service(&self, service: &str) -> Vec<Arc<Agent>> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.values().filter(|p| &*p.service == service).cloned().collect()
    }

    pub fn get(&self, agent: &str) -> Option<Arc<Agent>> {
        self.peers.read().unwrap_or_else(PoisonError::into_inner).get(agent).cloned()
    }

    pub fn all(&self) -> Vec<LastHeartbeat> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.values().map(|p| p.last_heartbeat()).collect()
    }

    /// Grows whenever an agent comes, changes or goes.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// An agent unheard for this long gets no new work.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_timeout
    }
}
