use std::{collections::BTreeMap, rc::Rc, time::Duration};

use base::{Name, Uptime};

use crate::Rank;

/// How long the requirements of a job stay in force.
const REQUIREMENT_TTL: Duration = Duration::from_secs(60);
/// Most labels kept; jobs may name any.
const MAX_LABELS: usize = 64;
/// Most agents that one job may require, as a multiple of `target_agents`.
const MAX_WIDTH_FACTOR: usize = 8;
/// Entries up to which each needs all of `target_agents`. With more of them the
/// share of the work that an entry has shrinks, and so does the number it needs;
/// otherwise agents would have ever more sessions.
const FEW_ENTRIES: usize = 16;
/// Part of `target_agents` that an entry needs in any fleet, one in so many:
/// callers are spread unevenly, so an entry may have several times the mean work.
const MIN_SHARE_DIVISOR: usize = 2;

/// Settings of the selection of agents.
#[derive(Clone, Copy, Debug)]
pub struct SelectorSettings {
    /// agents of a service that suffice for one of a few entries: its share of the
    /// work varies little compared with the capacity of so many
    pub target_agents: usize,
}

impl Default for SelectorSettings {
    fn default() -> Self {
        Self { target_agents: 64 }
    }
}

/// An agent of a service in the selection of an entry.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub rank: Rank,
    pub labels: Rc<[Name]>,
    /// accepts work
    pub ready: bool,
    /// the agent stays connected to this entry whether needed or not
    pub pinned: bool,
}

/// Decides which agents stay connected to an entry.
#[derive(Clone, Debug, Default)]
pub struct AgentSelector {
    settings: SelectorSettings,
    /// entries of the fleet
    entries: usize,
    /// labels required by jobs, and when last
    labels: BTreeMap<Name, Uptime>,
    /// most agents that one job required, and when
    width: Option<(usize, Uptime)>,
}

impl AgentSelector {
    pub fn new(settings: SelectorSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Sets the number of entries in the fleet.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Records that a job requires a label.
    pub fn require_label(&mut self, label: &Name, now: Uptime) {
        self.labels.retain(|_, at| is_fresh(*at, now));
        if self.labels.len() < MAX_LABELS || self.labels.contains_key(label) {
            self.labels.insert(label.clone(), now);
        }
    }

    /// Records that a job must be spread over so many agents.
    pub fn require_width(&mut self, agents: usize, now: Uptime) {
        let agents = agents.min(self.settings.target_agents.saturating_mul(MAX_WIDTH_FACTOR));
        if self.width(now) <= agents {
            self.width = Some((agents, now));
        }
    }

    /// Whether an agent may disconnect: enough others that accept work precede
    /// it, also among those with each label of it that jobs require.
    pub fn is_surplus(
        &self,
        candidate: &Candidate,
        others: impl Iterator<Item = Candidate>,
        now: Uptime,
    ) -> bool {
        if candidate.pinned {
            return false;
        }
        let is_ahead = |o: &Candidate| o.ready && (o.pinned || o.rank < candidate.rank);
        let ahead: Vec<Candidate> = others.filter(is_ahead).collect();
        let is_required =
            |label: &&Name| self.labels.get(*label).is_some_and(|at| is_fresh(*at, now));
        let count_with = |label: &Name| ahead.iter().filter(|o| o.labels.contains(label)).count();
        let needed = self.needed_agents();
        ahead.len() >= needed.max(self.width(now))
            && candidate.labels.iter().filter(is_required).all(|l| count_with(l) >= needed)
    }

    /// Agents that suffice for one of so many entries.
    fn needed_agents(&self) -> usize {
        let target = self.settings.target_agents;
        let share = target.saturating_mul(FEW_ENTRIES) / self.entries.max(1);
        share.clamp(target.div_ceil(MIN_SHARE_DIVISOR), target)
    }

    /// Most agents that a recent job must be spread over.
    fn width(&self, now: Uptime) -> usize {
        self.width.filter(|(_, at)| is_fresh(*at, now)).map_or(0, |(width, _)| width)
    }
}

/// Whether a requirement is still in force.
fn is_fresh(required_at: Uptime, now: Uptime) -> bool {
    required_at + REQUIREMENT_TTL > now
}
