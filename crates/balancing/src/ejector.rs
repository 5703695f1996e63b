use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Name;

/// Settings of outlier ejection.
#[derive(Clone, Debug)]
pub struct EjectorSettings {
    /// share of failed runs from which an agent is ejected, 0 to 1
    pub min_failure_rate: f64,
    /// largest share of a service's agents that is ejected, 0 to 1
    pub max_share: f64,
    /// time from the ejection to the first probe
    pub first_probe: Duration,
    /// longest time between probes
    pub max_probe: Duration,
}

impl Default for EjectorSettings {
    fn default() -> Self {
        Self {
            min_failure_rate: 0.5,
            max_share: 0.34,
            first_probe: Duration::from_secs(2),
            max_probe: Duration::from_secs(30),
        }
    }
}

/// Whether an agent receives tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentStatus {
    Active,
    /// receives one task to test whether it still fails
    Probe,
    Ejected,
}

/// Outlier ejection: excludes agents whose share of failed runs is high, and
/// probes them with an exponential backoff.
pub struct Ejector {
    settings: EjectorSettings,
    ejected: HashMap<Name, Ejected>,
}

struct Ejected {
    /// share of failed runs at the last evaluation
    failure_rate: f64,
    probe_at: Instant,
    probe_interval: Duration,
}

impl Ejector {
    pub fn new(settings: EjectorSettings) -> Self {
        Self { settings, ejected: HashMap::new() }
    }

    /// Evaluates an agent of a service of `size` agents by its share of failed runs.
    pub fn evaluate(
        &mut self,
        agent: &Name,
        failure_rate: f64,
        size: usize,
        now: Instant,
    ) -> AgentStatus {
        let fails = failure_rate >= self.settings.min_failure_rate;
        if !fails {
            self.ejected.remove(agent);
            return AgentStatus::Active;
        }
        let most = (size as f64 * self.settings.max_share) as usize;
        if let Some(ejected) = self.ejected.get_mut(agent) {
            // a probe succeeded, so the next may follow at once
            if failure_rate < ejected.failure_rate {
                ejected.probe_at = now;
                ejected.probe_interval = self.settings.first_probe;
            }
            ejected.failure_rate = failure_rate;
            return if ejected.probe_at <= now { AgentStatus::Probe } else { AgentStatus::Ejected };
        }
        if self.ejected.len() >= most {
            return AgentStatus::Active;
        }
        let probe_interval = self.settings.first_probe;
        self.ejected.insert(
            agent.clone(),
            Ejected { failure_rate, probe_at: now + probe_interval, probe_interval },
        );
        AgentStatus::Ejected
    }

    /// Schedules the next probe after one was sent.
    pub fn on_probe_sent(&mut self, agent: &Name, now: Instant) {
        let Some(ejected) = self.ejected.get_mut(agent) else { return };
        ejected.probe_interval = (ejected.probe_interval * 2).min(self.settings.max_probe);
        ejected.probe_at = now + ejected.probe_interval;
    }

    /// Drops agents that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.ejected.retain(|agent, _| is_known(agent));
    }

    /// Number of ejected agents.
    pub fn len(&self) -> usize {
        self.ejected.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ejected.is_empty()
    }
}
