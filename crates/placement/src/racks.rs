//! Demand for racks at one entry, and the pressure that follows from it.
//!
//! Jobs may name the rack of their data. The pressure of a rack is its share of
//! the work that arrives, divided by its share of the capacity of agents that
//! accept work. As both are shares, entries need not exchange them. Which labels
//! of agents are racks is learnt from the jobs.

use std::{collections::HashMap, time::Duration};

use base::{Name, Uptime};

/// Time over which demand is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// A rack that no job names for this long is forgotten; its demand has decayed
/// to less than a hundredth by then.
const RETENTION: Duration = Duration::from_secs(10);
/// Racks kept at most, since callers choose the names.
const MAX_RACKS: usize = 256;
/// Longest name that is kept.
const MAX_NAME_BYTES: usize = 128;

/// Demand for racks and their pressure.
#[derive(Debug, Default)]
pub struct RackDemand {
    /// work of jobs that name a rack, by rack
    racks: HashMap<Name, DecayedWork>,
    /// work of all jobs since `since`
    total: DecayedWork,
    /// when a job named a rack after no rack was known
    since: Uptime,
    /// pressure of each rack that has agents, as of the last refresh
    pressures: HashMap<Name, f64>,
    /// whether any pressure is above 1
    any_hot: bool,
}

/// Core-seconds with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedWork {
    work: f64,
    added_at: Uptime,
}

impl RackDemand {
    /// Records a job that arrives, with its work in core-seconds; `rack` is empty
    /// if it names none.
    pub fn record(&mut self, rack: &Name, work: f64, now: Uptime) {
        let is_named = !rack.is_empty() && rack.len() <= MAX_NAME_BYTES;
        if self.is_empty() {
            if !is_named {
                return;
            }
            self.total = DecayedWork::default();
            self.since = now;
        }
        let work = if work.is_finite() { work.max(0.0) } else { 0.0 };
        self.total.add(work, now);
        if !is_named {
            return;
        }
        if self.racks.len() >= MAX_RACKS && !self.racks.contains_key(rack) {
            self.evict_least(now);
        }
        self.racks.entry(rack.clone()).or_default().add(work, now);
    }

    /// Updates the pressures; `capacities` are the labels and millicores of each
    /// agent that accepts work.
    pub fn refresh<'a>(
        &mut self,
        capacities: impl IntoIterator<Item = (&'a [Name], u32)>,
        now: Uptime,
    ) {
        self.pressures.clear();
        self.any_hot = false;
        self.racks.retain(|_, demand| now.saturating_sub(demand.added_at) <= RETENTION);
        let total = self.total.at(now);
        if self.is_empty() || total <= 0.0 {
            return;
        }
        let mut all = 0.0;
        for (labels, cpu) in capacities {
            all += f64::from(cpu);
            for rack in labels.iter().filter(|l| self.racks.contains_key(*l)) {
                *self.pressures.entry(rack.clone()).or_default() += f64::from(cpu);
            }
        }
        self.pressures.retain(|_, cpu| *cpu > 0.0);
        // the share of the first jobs says little: without this, the first job that
        // names a rack would put it under the highest pressure
        let confidence = 1.0 - decay(now.saturating_sub(self.since));
        for (rack, value) in &mut self.pressures {
            let demand = self.racks.get(rack).map_or(0.0, |d| d.at(now));
            *value = confidence * (demand / total) / (*value / all);
            self.any_hot |= *value > 1.0;
        }
    }

    /// Pressure of a rack; 0 without demand or without agents.
    pub fn pressure(&self, rack: &str) -> f64 {
        self.pressures.get(rack).copied().unwrap_or_default()
    }

    /// Whether the pressure of any rack is above 1.
    pub fn any_hot(&self) -> bool {
        self.any_hot
    }

    /// Pressure at an agent with these labels, by the rack with the highest.
    pub fn pressure_at(&self, labels: &[Name]) -> f64 {
        labels.iter().map(|l| self.pressure(l)).fold(0.0, f64::max)
    }

    /// The `count` racks with the highest pressure, highest first.
    pub fn highest(&self, count: usize) -> Vec<(Name, f64)> {
        let mut racks: Vec<_> = self.pressures.iter().map(|(r, p)| (r.clone(), *p)).collect();
        racks.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        racks.truncate(count);
        racks
    }

    /// Number of racks kept.
    pub fn len(&self) -> usize {
        self.racks.len()
    }

    /// Whether no rack is kept; jobs that name none need no record then.
    pub fn is_empty(&self) -> bool {
        self.racks.is_empty()
    }

    fn evict_least(&mut self, now: Uptime) {
        let by_demand = |a: &DecayedWork, b: &DecayedWork| a.at(now).total_cmp(&b.at(now));
        let least = self.racks.iter().min_by(|a, b| by_demand(a.1, b.1));
        if let Some(least) = least.map(|(rack, _)| rack.clone()) {
            self.racks.remove(&least);
        }
    }
}

impl DecayedWork {
    fn add(&mut self, work: f64, now: Uptime) {
        *self = Self { work: self.at(now) + work, added_at: now.max(self.added_at) };
    }

    fn at(&self, now: Uptime) -> f64 {
        self.work * decay(now.saturating_sub(self.added_at))
    }
}

/// Share of a demand that is left after some time.
fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
}
