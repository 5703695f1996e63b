use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Name;

/// Settings of the ejection of agents whose backend server fails everything.
#[derive(Clone, Debug)]
pub struct EjectorSettings {
    /// share of failed runs from which an agent is ejected, 0 to 1
    pub failing: f64,
    /// largest share of a service that is ejected, 0 to 1
    pub max_share: f64,
    /// time to the first probe of an ejected agent
    pub first_probe: Duration,
    /// longest time between probes
    pub max_probe: Duration,
}

impl Default for EjectorSettings {
    fn default() -> Self {
        Self {
            failing: 0.5,
            max_share: 0.34,
            first_probe: Duration::from_secs(2),
            max_probe: Duration::from_secs(30),
        }
    }
}

/// Whether an agent gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentStatus {
    Active,
    /// one task, to see whether it still fails
    Probe,
    Ejected,
}

/// Agents left out because nearly all of their runs fail.
pub struct Ejector {
    settings: EjectorSettings,
    out: HashMap<Name, Ejected>,
}

struct Ejected {
    /// share of failed runs when last looked at
    failing: f64,
    probe_at: Instant,
    pause: Duration,
}

impl Ejector {
    pub fn new(settings: EjectorSettings) -> Self {
        Self { settings, out: HashMap::new() }
    }

    /// Judges an agent of a service of `size` by its share of failed runs.
    pub fn evaluate(
        &mut self,
        agent: &Name,
        failing: f64,
        size: usize,
        now: Instant,
    ) -> AgentStatus {
        let fails = failing >= self.settings.failing;
        if !fails {
            self.out.remove(agent);
            return AgentStatus::Active;
        }
        let most = (size as f64 * self.settings.max_share) as usize;
        if let Some(ejected) = self.out.get_mut(agent) {
            // a probe went well: the next may follow at once
            if failing < ejected.failing {
                ejected.probe_at = now;
                ejected.pause = self.settings.first_probe;
            }
            ejected.failing = failing;
            return if ejected.probe_at <= now { AgentStatus::Probe } else { AgentStatus::Ejected };
        }
        if self.out.len() >= most {
            return AgentStatus::Active;
        }
        let pause = self.settings.first_probe;
        self.out.insert(agent.clone(), Ejected { failing, probe_at: now + pause, pause });
        AgentStatus::Ejected
    }

    /// Notes that a probe was sent.
    pub fn on_probe_sent(&mut self, agent: &Name, now: Instant) {
        let Some(ejected) = self.out.get_mut(agent) else { return };
        ejected.pause = (ejected.pause * 2).min(self.settings.max_probe);
        ejected.probe_at = now + ejected.pause;
    }

    /// Forgets agents that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.out.retain(|agent, _| is_known(agent));
    }

    /// Agents that are out now.
    pub fn len(&self) -> usize {
        self.out.len()
    }

    pub fn is_empty(&self) -> bool {
        self.out.is_empty()
    }
}
