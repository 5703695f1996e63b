use std::{collections::BTreeMap, rc::Rc, time::Duration};

use base::{Name, Uptime};

use crate::Rank;

/// What a job asked for is sought for so long after it.
const KEEP: Duration = Duration::from_secs(60);
/// Most labels that are sought; jobs may name any.
const MAX_LABELS: usize = 64;
/// Most agents that one job may have an entry seek, over those that are enough.
const MAX_WIDTH: usize = 8;

/// Settings of the agents that an entry keeps in touch with.
#[derive(Clone, Copy, Debug)]
pub struct SelectorSettings {
    /// agents of a service that are enough for the callers of one entry: its
    /// share of the work varies little against the room of so many
    pub target_agents: usize,
}

impl Default for SelectorSettings {
    fn default() -> Self {
        Self { target_agents: 64 }
    }
}

/// An agent of a service, as an entry sees it.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub rank: Rank,
    pub labels: Rc<[Name]>,
    /// takes work
    pub ready: bool,
    /// this entry is one of the few that the agent counts on
    pub pinned: bool,
}

/// Decides which agents an entry keeps in touch with.
#[derive(Clone, Debug, Default)]
pub struct AgentSelector {
    settings: SelectorSettings,
    /// labels that jobs required, and when last
    labels: BTreeMap<Name, Uptime>,
    /// most agents that a job had to be spread over, and when
    width: Option<(usize, Uptime)>,
}

impl AgentSelector {
    pub fn new(settings: SelectorSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// A job required a label.
    pub fn require_label(&mut self, label: &Name, now: Uptime) {
        self.labels.retain(|_, at| is_fresh(*at, now));
        if self.labels.len() < MAX_LABELS || self.labels.contains_key(label) {
            self.labels.insert(label.clone(), now);
        }
    }

    /// A job has to be spread over so many agents.
    pub fn require_width(&mut self, agents: usize, now: Uptime) {
        let agents = agents.min(self.settings.target_agents.saturating_mul(MAX_WIDTH));
        if self.width(now) <= agents {
            self.width = Some((agents, now));
        }
    }

    /// Whether an agent may leave this entry: enough of the others that take
    /// work go before it, also among those with any label that jobs have asked
    /// for.
    pub fn is_surplus(
        &self,
        member: &Candidate,
        others: impl Iterator<Item = Candidate>,
        now: Uptime,
    ) -> bool {
        if member.pinned {
            return false;
        }
        let is_ahead = |o: &Candidate| o.ready && (o.pinned || o.rank < member.rank);
        let ahead: Vec<Candidate> = others.filter(is_ahead).collect();
        let wanted = |label: &&Name| self.labels.get(*label).is_some_and(|at| is_fresh(*at, now));
        let of_label = |label: &Name| ahead.iter().filter(|o| o.labels.contains(label)).count();
        ahead.len() >= self.settings.target_agents.max(self.width(now))
            && member
                .labels
                .iter()
                .filter(wanted)
                .all(|l| of_label(l) >= self.settings.target_agents)
    }

    /// Most agents that a job of late had to be spread over.
    fn width(&self, now: Uptime) -> usize {
        self.width.filter(|(_, at)| is_fresh(*at, now)).map_or(0, |(width, _)| width)
    }
}

/// Whether what was asked for is still sought.
fn is_fresh(asked: Uptime, now: Uptime) -> bool {
    asked + KEEP > now
}
