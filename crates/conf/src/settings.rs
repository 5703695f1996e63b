use std::{fs, net::SocketAddr};

use base::{Name, Token};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Map, Value};

use crate::{Error, Result, name_fault};

/// A fault in one field of a settings file or of the fleet configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub field: String,
    pub reason: String,
}

/// Settings that report every fault found in them.
pub trait Validate {
    /// Name of the process in its logs.
    fn name(&self) -> &str;

    fn faults(&self) -> Vec<Fault>;
}

const DEFAULT_RETENTION_MS: u64 = 900_000;
/// The longest deadline plus the longest run, with a margin.
const MIN_RETENTION_MS: u64 = 780_000;
const DEFAULT_SKEW_MS: u64 = 1000;

/// Settings of `egret-entry`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    pub name: Name,
    /// data centre of this entry
    pub centre: Name,
    /// HTTP address for callers
    pub http: SocketAddr,
    /// RPC address for agents
    pub rpc: SocketAddr,
    /// URL of the platform
    pub platform: String,
    pub token: Token,
    /// how an agent is chosen for a task
    pub pick: BalancingPolicy,
    /// threads that serve callers
    pub threads: usize,
    /// largest body of a request, bytes
    pub body_bytes: usize,
    /// interval at which the fleet configuration is read, milliseconds
    pub poll_ms: u64,
    /// an agent without a heartbeat for this long gets no new work, milliseconds
    pub silence_ms: u64,
    /// time for the first heartbeats of agents before a started entry is ready, milliseconds
    pub warm_ms: u64,
    /// interval at which counts for the burn report are written, milliseconds
    pub counts_ms: u64,
    /// time that a stopping entry gives the load balancer to see it unready, milliseconds
    pub unready_ms: u64,
    /// how long agents remember a key, milliseconds; older keys are refused
    pub retention_ms: u64,
    /// how far apart the clocks of two VMs may be, milliseconds
    pub skew_ms: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            name: "entry".into(),
            centre: "".into(),
            http: SocketAddr::from(([127, 0, 0, 1], 7100)),
            rpc: SocketAddr::from(([127, 0, 0, 1], 7200)),
            platform: "http://127.0.0.1:7000".to_owned(),
            token: Token::default(),
            pick: BalancingPolicy::default(),
            threads: 2,
            body_bytes: 1 << 20,
            poll_ms: 1000,
            silence_ms: 2000,
            warm_ms: 1500,
            counts_ms: 60_000,
            unready_ms: 500,
            retention_ms: DEFAULT_RETENTION_MS,
            skew_ms: DEFAULT_SKEW_MS,
        }
    }
}

impl Validate for EntrySettings {
    fn name(&self) -> &str {
        &self.name
    }

    fn faults(&self) -> Vec<Fault> {
        let mut faults = common_faults(&self.name, &self.platform, &self.token);
        at_least("threads", self.threads as u64, 1, &mut faults);
        at_least("body_bytes", self.body_bytes as u64, 1024, &mut faults);
        at_least("poll_ms", self.poll_ms, 50, &mut faults);
        at_least("silence_ms", self.silence_ms, 200, &mut faults);
        at_least("counts_ms", self.counts_ms, 1000, &mut faults);
        at_least("retention_ms", self.retention_ms, MIN_RETENTION_MS, &mut faults);
        faults
    }
}

/// How an entry chooses an agent for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancingPolicy {
    /// lowest expected wait and run time
    #[default]
    ExpectedWait,
    /// uniformly at random: a baseline for measurements
    Random,
    /// each in turn: a baseline for measurements
    RoundRobin,
    /// fewest outstanding tasks of this entry: a baseline for measurements
    LeastOutstanding,
}

/// Order in which an agent starts queued tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueuePolicy {
    /// short tasks apart from long ones, by deadline and observed run times
    #[default]
    Classes,
    /// first in, first out: a baseline for measurements
    Fifo,
}

/// Settings of `egret-agent`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentSettings {
    pub name: Name,
    /// service its backend server serves
    pub service: Name,
    pub centre: Name,
    pub rack: Name,
    /// HTTP address for announcements of its backend server
    pub http: SocketAddr,
    /// RPC address for entries and other agents
    pub rpc: SocketAddr,
    /// RPC addresses of the entries that get the first heartbeats
    pub entries: Vec<SocketAddr>,
    /// URL of the platform
    pub platform: String,
    pub token: Token,
    /// tasks its backend server runs at once
    pub slots: u32,
    /// connections it may open to its backend server
    pub connections: u32,
    /// order in which queued tasks start
    pub queue: QueuePolicy,
    /// interval of heartbeats to entries, milliseconds
    pub beat_ms: u64,
    /// interval of heartbeats to each other agent of the roster, milliseconds
    pub heartbeat_ms: u64,
    /// how long acknowledged heartbeats let an agent act as home, milliseconds
    pub lease_ms: u64,
    /// an agent that answers no heartbeat for this long counts as lost, milliseconds
    pub suspect_ms: u64,
    /// a backend server that hasn't renewed its announcement for this long counts as gone,
    /// milliseconds
    pub renew_ms: u64,
    /// how long a claim and an answer are remembered, milliseconds
    pub retention_ms: u64,
    /// how far apart the clocks of two VMs may be, milliseconds
    pub skew_ms: u64,
    /// most claims, and most records of tasks, kept at once
    pub records: usize,
    /// most memory of claims, and of records with their answers, bytes
    pub record_bytes: usize,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self {
            name: "agent".into(),
            service: "".into(),
            centre: "".into(),
            rack: "".into(),
            http: SocketAddr::from(([127, 0, 0, 1], 7300)),
            rpc: SocketAddr::from(([127, 0, 0, 1], 7400)),
            entries: Vec::new(),
            platform: "http://127.0.0.1:7000".to_owned(),
            token: Token::default(),
            slots: 8,
            connections: 64,
            queue: QueuePolicy::default(),
            beat_ms: 500,
            heartbeat_ms: 1500,
            lease_ms: 5000,
            suspect_ms: 4000,
            renew_ms: 2000,
            retention_ms: DEFAULT_RETENTION_MS,
            skew_ms: DEFAULT_SKEW_MS,
            records: 200_000,
            record_bytes: 48 << 20,
        }
    }
}

impl Validate for AgentSettings {
    fn name(&self) -> &str {
        &self.name
    }

    fn faults(&self) -> Vec<Fault> {
        let mut faults = common_faults(&self.name, &self.platform, &self.token);
        if self.service.is_empty() {
            faults.push(fault("service", "is missing: name the service of the backend server"));
        } else if let Some(reason) = name_fault(&self.service) {
            faults.push(fault("service", reason));
        }
        if self.entries.is_empty() {
            faults.push(fault("entries", "is empty: name at least one entry's rpc address"));
        }
        at_least("slots", self.slots.into(), 1, &mut faults);
        at_least("connections", self.connections.into(), self.slots.into(), &mut faults);
        at_least("beat_ms", self.beat_ms, 50, &mut faults);
        at_least("heartbeat_ms", self.heartbeat_ms, 50, &mut faults);
        at_least("lease_ms", self.lease_ms, 3 * self.heartbeat_ms, &mut faults);
        at_least("suspect_ms", self.suspect_ms, 2 * self.heartbeat_ms, &mut faults);
        at_least("renew_ms", self.renew_ms, 200, &mut faults);
        at_least("retention_ms", self.retention_ms, MIN_RETENTION_MS, &mut faults);
        at_least("records", self.records as u64, 100, &mut faults);
        at_least("record_bytes", self.record_bytes as u64, 1 << 20, &mut faults);
        faults
    }
}

/// Reads and validates a settings file.
///
/// # Errors
/// When the file can't be read or parsed, or has faults; all of them are listed.
pub fn load<S: DeserializeOwned + Validate>(path: &str) -> Result<S> {
    let text = fs::read_to_string(path)
        .map_err(|e| Error::Read { path: path.to_owned(), reason: e.to_string() })?;
    let fields: Map<String, Value> = serde_json::from_str(&text)
        .map_err(|e| Error::Parse { path: path.to_owned(), reason: e.to_string() })?;
    let (mut faults, valid) = parse_fields::<S>(fields);
    let settings: S = serde_json::from_value(Value::Object(valid))
        .map_err(|e| Error::Parse { path: path.to_owned(), reason: e.to_string() })?;
    faults.extend(settings.faults());
    if faults.is_empty() {
        return Ok(settings);
    }
    Err(Error::Faults { path: path.to_owned(), faults })
}

/// Parses each field on its own, so that one fault doesn't hide the next.
fn parse_fields<S: DeserializeOwned>(
    fields: Map<String, Value>,
) -> (Vec<Fault>, Map<String, Value>) {
    let mut faults = Vec::new();
    let mut valid = Map::new();
    for (name, value) in fields {
        let single = Map::from_iter([(name.clone(), value.clone())]);
        match serde_json::from_value::<S>(Value::Object(single)) {
            Ok(_) => drop(valid.insert(name, value)),
            Err(e) => faults.push(fault(&name, &e.to_string())),
        }
    }
    (faults, valid)
}

pub(crate) fn common_faults(name: &str, platform: &str, token: &Token) -> Vec<Fault> {
    let mut faults = identity_faults(name, token);
    if !platform.starts_with("http://") {
        faults.push(fault("platform", "must be a URL that starts with http://"));
    }
    faults
}

pub(crate) fn identity_faults(name: &str, token: &Token) -> Vec<Fault> {
    let mut faults = Vec::new();
    if let Some(reason) = name_fault(name) {
        faults.push(fault("name", reason));
    }
    if token.is_empty() {
        faults.push(fault("token", "is missing: every process of the fleet shares one"));
    }
    faults
}

pub(crate) fn at_least(field: &str, value: u64, min: u64, faults: &mut Vec<Fault>) {
    if value < min {
        faults.push(fault(field, &format!("is {value}, must be at least {min}")));
    }
}

pub(crate) fn fault(field: &str, reason: &str) -> Fault {
    Fault { field: field.to_owned(), reason: reason.to_owned() }
}
