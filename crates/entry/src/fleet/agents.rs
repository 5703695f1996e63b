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

/// Heartbeat timeouts after which a silent agent is forgotten. Its VM is gone: one
/// that returns is added as a new agent.
const RETAINED_TIMEOUTS: u32 = 40;

/// The agents that send heartbeats to this entry; no other list of them exists.
pub struct Agents {
    heartbeat_timeout: Duration,
    by_name: RwLock<BTreeMap<Name, Arc<Agent>>>,
    /// incremented whenever an agent is added or replaced
    generation: AtomicU64,
}

/// What an agent reported last, and when its last heartbeat came.
#[derive(Clone, Debug)]
pub struct LastHeartbeat {
    pub info: AgentInfo,
    pub at: Instant,
}

impl Agents {
    pub fn new(heartbeat_timeout: Duration) -> Self {
        Self { heartbeat_timeout, by_name: RwLock::default(), generation: AtomicU64::new(0) }
    }

    /// Updates the agent, or adds it when its incarnation is new.
    pub fn on_heartbeat(&self, info: AgentInfo) {
        let known = self.get(&info.name);
        if known.as_ref().is_some_and(|a| a.is_ready()) && !info.load.ready {
            Event::AgentNotReady.log(format_args!("{}", info.name));
        }
        if let Some(agent) = known.filter(|a| a.is_same_incarnation(&info)) {
            agent.on_heartbeat(info);
            return;
        }
        Event::AgentDiscovered.log(format_args!("{} at {}", info.name, info.address));
        let mut agents = self.by_name.write().unwrap_or_else(PoisonError::into_inner);
        let retention = self.heartbeat_timeout * RETAINED_TIMEOUTS;
        agents.retain(|_, agent| !agent.is_silent(retention));
        agents.insert(info.name.clone(), Arc::new(Agent::new(info)));
        self.generation.fetch_add(1, Ordering::Release);
    }

    /// Updates an agent's load from a reply.
    pub fn update_load(&self, agent: &str, load: Load) {
        if let Some(agent) = self.get(agent) {
            agent.update_load(load);
        }
    }

    /// All agents of a service, by name.
    pub fn of_service(&self, service: &str) -> Vec<Arc<Agent>> {
        let agents = self.by_name.read().unwrap_or_else(PoisonError::into_inner);
        agents.values().filter(|a| &*a.service == service).cloned().collect()
    }

    pub fn get(&self, agent: &str) -> Option<Arc<Agent>> {
        self.by_name.read().unwrap_or_else(PoisonError::into_inner).get(agent).cloned()
    }

    pub fn all(&self) -> Vec<LastHeartbeat> {
        let agents = self.by_name.read().unwrap_or_else(PoisonError::into_inner);
        agents.values().map(|a| a.last_heartbeat()).collect()
    }

    /// Grows whenever an agent is added or replaced.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// An agent without a heartbeat for this long gets no new work.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_timeout
    }
}
