use std::collections::BTreeMap;

use base::Name;
use serde::{Deserialize, Serialize};

use super::{Change, EffectiveValues, MAX_HISTORY, Values};

/// The fleet configuration: one document in one row of the platform's table,
/// changed by compare-and-set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// values that hold for every service
    pub defaults: Values,
    pub services: BTreeMap<Name, Service>,
    /// where callers hand in jobs of tasks with a size, by name
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub queues: BTreeMap<Name, Queue>,
    pub exceptions: Vec<Exception>,
    /// the newest change first
    pub history: Vec<Change>,
}

impl Fleet {
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

    /// The queue that a call names: its host and the longest prefix of its path.
    pub fn find_queue(&self, host: &str, path: &str) -> Option<(&Name, &Queue)> {
        let fits = |q: &Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&*q.prefix);
        self.queues.iter().filter(|(_, q)| fits(q)).max_by_key(|(_, q)| q.prefix.len())
    }

    /// The change with this number, if the document remembers it.
    pub fn find_change(&self, id: &str) -> Option<&Change> {
        self.history.iter().find(|c| c.id == id)
    }

    /// Changes after a version, the newest first.
    pub fn changes_since(&self, version: u64) -> Vec<&Change> {
        self.history.iter().filter(|c| c.version > version).collect()
    }

    /// Notes a change as the newest, and forgets the oldest beyond the bound.
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

/// A queue of jobs for one service, and what is owed to its callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    pub service: Name,
    /// host that callers name
    pub host: Name,
    /// start of the paths that belong to it
    pub prefix: Name,
    /// 0 comes first
    pub priority: u32,
    /// runs of a task that may fail before its job has failed
    pub attempts: u32,
    /// objective: so many times the longest task of a job
    pub stretch: f64,
    /// objective: and so much more, milliseconds
    pub target_ms: u64,
}

/// What a team may ask of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// share beside the other teams
    pub weight: u64,
    /// task starts a second; none when absent
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
    /// what the next person on duty reads
    pub reason: String,
    pub author: String,
    /// when it was added, unix milliseconds
    pub added_ms: u64,
}
