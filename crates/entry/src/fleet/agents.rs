use std::{
    collections::BTreeMap,
    sync::{PoisonError, RwLock},
    time::{Duration, Instant},
};

use base::{Event, Name};
use wire::{AgentInfo, Load};

/// The agents that greet this entry. Nothing else lists them.
pub struct Agents {
    silence: Duration,
    seen: RwLock<BTreeMap<Name, Seen>>,
}

/// An agent and when it was last heard.
#[derive(Clone, Debug)]
pub struct Seen {
    pub info: AgentInfo,
    pub at: Instant,
}

impl Agents {
    pub fn new(silence: Duration) -> Self {
        Self { silence, seen: RwLock::default() }
    }

    /// Notes a greeting.
    pub fn heard(&self, info: AgentInfo) {
        let mut seen = self.seen.write().unwrap_or_else(PoisonError::into_inner);
        let before = seen.get(&info.name).map(|s| (s.info.incarnation, s.info.load.ready));
        if before.is_none_or(|(incarnation, _)| incarnation != info.incarnation) {
            Event::AgentSeen.log(format_args!("{} at {}", info.name, info.address));
        }
        if before.is_some_and(|(_, ready)| ready) && !info.load.ready {
            Event::AgentNotReady.log(format_args!("{}", info.name));
        }
        seen.insert(info.name.clone(), Seen { info, at: Instant::now() });
    }

    /// Notes the load that came with a reply.
    pub fn refresh(&self, agent: &str, load: Load) {
        let mut seen = self.seen.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(seen) = seen.get_mut(agent) {
            seen.info.load = load;
        }
    }

    /// Agents of a service that take new work.
    pub fn ready(&self, service: &str) -> Vec<AgentInfo> {
        let now = Instant::now();
        self.all()
            .into_iter()
            .filter(|s| &*s.info.service == service && s.info.load.ready)
            .filter(|s| now.duration_since(s.at) <= self.silence)
            .map(|s| s.info)
            .collect()
    }

    pub fn all(&self) -> Vec<Seen> {
        self.seen.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }
}
