use std::collections::{BTreeMap, BTreeSet};

use base::Name;
use serde::{Deserialize, Serialize};

use super::{Change, EffectiveValues, MAX_HISTORY, Values};

/// The fleet configuration: one document in one row of the platform's table,
/// changed by compare-and-set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfig {
    /// values that hold for every service
    pub defaults: Values,
    pub services: BTreeMap<Name, Service>,
    /// queues for jobs of tasks with a size, by name
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub queues: BTreeMap<Name, Queue>,
    pub exceptions: Vec<Exception>,
    /// the newest change first
    pub history: Vec<Change>,
}

impl FleetConfig {
    /// Row of the platform's table that holds the document.
    pub const ROW_KEY: &str = "fleet";

    /// The values in force for a service: the defaults of the program, then
    /// those of the fleet, then the exceptions of the service.
    pub fn effective(&self, service: &str) -> EffectiveValues {
        let mut effective = EffectiveValues::default();
        effective.apply(&self.defaults);
        for exception in self.exceptions.iter().filter(|e| &*e.service == service) {
            effective.apply(&exception.values);
        }
        effective
    }

    /// The queue of a call: same host, longest matching prefix of the path.
    pub fn find_queue(&self, host: &str, path: &str) -> Option<(&Name, &Queue)> {
        let is_match =
            |q: &Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&*q.prefix);
        self.queues.iter().filter(|(_, q)| is_match(q)).max_by_key(|(_, q)| q.prefix.len())
    }

    /// The rank of each queue among those of its service.
    pub fn queue_ranks(&self) -> BTreeMap<Name, QueueRank> {
        let mut priorities = BTreeMap::<&Name, BTreeSet<u64>>::new();
        for queue in self.queues.values() {
            priorities.entry(&queue.service).or_default().insert(queue.priority);
        }
        let rank = |(name, queue): (&Name, &Queue)| {
            let priorities = priorities.get(&queue.service)?;
            let rank = priorities.range(..queue.priority).count();
            Some((name.clone(), QueueRank { rank, ranks: priorities.len() }))
        };
        self.queues.iter().filter_map(rank).collect()
    }

    /// The change with this id, if the history still holds it.
    pub fn find_change(&self, id: &str) -> Option<&Change> {
        self.history.iter().find(|c| c.id == id)
    }

    /// The changes after a version, the newest first.
    pub fn changes_since(&self, version: u64) -> Vec<&Change> {
        self.history.iter().filter(|c| c.version > version).collect()
    }

    /// Adds a change to the history and drops the oldest beyond `MAX_HISTORY`.
    pub fn record(&mut self, change: Change) {
        self.history.insert(0, change);
        self.history.truncate(MAX_HISTORY);
    }
}

/// One service and the teams that may call it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    pub teams: BTreeMap<Name, Team>,
}

/// A queue of jobs for one service, and its objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    pub service: Name,
    /// host that callers name
    pub host: Name,
    /// prefix of the paths that belong to it
    pub prefix: Name,
    /// 0 is the highest priority
    pub priority: u64,
    /// runs of a task that may fail before its job fails
    pub attempts: u32,
    /// objective: multiple of the longest task of a job
    pub stretch: f64,
    /// objective: time added to that, milliseconds
    pub target_ms: u64,
}

/// Rank of a queue by its priority among the queues of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueRank {
    /// number of distinct priorities that are higher
    pub rank: usize,
    /// number of distinct priorities
    pub ranks: usize,
}

/// Share and quota of a team at a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// share relative to the other teams
    pub weight: u64,
    /// task starts per second; unlimited when absent
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota: Option<u64>,
}

impl Default for Team {
    fn default() -> Self {
        Self { weight: 1, quota: None }
    }
}

/// A deviation from the defaults for one service, and why it is there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    pub service: Name,
    pub values: Values,
    /// explanation for the next operator on duty
    pub reason: String,
    pub author: String,
    /// when it was added, unix milliseconds
    pub added_ms: u64,
}
