use std::{fs, net::SocketAddr};

use base::{Name, Token};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Map, Value};

use crate::{Error, Result, name_fault};

/// One thing wrong with one field of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub field: String,
    pub why: String,
}

/// Settings that can tell everything that is wrong with them.
pub trait Validate {
    /// Name of the process in its logs.
    fn name(&self) -> &str;

    fn faults(&self) -> Vec<Fault>;
}

const RETENTION_MS: u64 = 900_000;
/// The longest deadline and the longest run, with a margin.
const LEAST_RETENTION_MS: u64 = 780_000;
const SKEW_MS: u64 = 1000;

/// Settings of `egret-entry`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    pub name: Name,
    /// data centre this entry stands in
    pub centre: Name,
    /// where callers come in over HTTP
    pub http: SocketAddr,
    /// where agents come in over RPC
    pub rpc: SocketAddr,
    /// URL of the platform
    pub platform: String,
    pub token: Token,
    /// how an agent is chosen for a task
    pub pick: PickKind,
    /// threads that serve callers
    pub threads: usize,
    /// largest body of a request, bytes
    pub body_bytes: usize,
    /// how often the fleet configuration is read, milliseconds
    pub poll_ms: u64,
    /// an agent unheard for this long gets no new work, milliseconds
    pub silence_ms: u64,
    /// time for the agents to greet a fresh entry before it is ready, milliseconds
    pub warm_ms: u64,
    /// how often counts for the burn report are written, milliseconds
    pub counts_ms: u64,
    /// time for the balancer to see this entry unready, milliseconds
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
            pick: PickKind::default(),
            threads: 2,
            body_bytes: 1 << 20,
            poll_ms: 1000,
            silence_ms: 2000,
            warm_ms: 1500,
            counts_ms: 60_000,
            unready_ms: 500,
            retention_ms: RETENTION_MS,
            skew_ms: SKEW_MS,
        }
    }
}

impl Validate for EntrySettings {
    fn name(&self) -> &str {
        &self.name
    }

    fn faults(&self) -> Vec<Fault> {
        let mut faults = common(&self.name, &self.platform, &self.token);
        at_least("threads", self.threads as u64, 1, &mut faults);
        at_least("body_bytes", self.body_bytes as u64, 1024, &mut faults);
        at_least("poll_ms", self.poll_ms, 50, &mut faults);
        at_least("silence_ms", self.silence_ms, 200, &mut faults);
        at_least("counts_ms", self.counts_ms, 1000, &mut faults);
        at_least("retention_ms", self.retention_ms, LEAST_RETENTION_MS, &mut faults);
        faults
    }
}

/// How an entry chooses an agent for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PickKind {
    /// by the expected wait and run time there
    #[default]
    ExpectedWait,
    /// any: a baseline for measurements
    Random,
    /// each in turn: a baseline for measurements
    RoundRobin,
    /// fewest tasks of this entry: a baseline for measurements
    LeastOutstanding,
}

/// Order in which an agent starts queued tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueKind {
    /// short work beside long, by deadline and run times observed
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
    /// where its backend server announces itself
    pub http: SocketAddr,
    /// where entries and other agents come in
    pub rpc: SocketAddr,
    /// rpc addresses of entries to greet first
    pub entries: Vec<SocketAddr>,
    /// URL of the platform
    pub platform: String,
    pub token: Token,
    /// tasks its backend server runs at once
    pub slots: u32,
    /// connections it may open to its backend server
    pub connections: u32,
    /// order in which queued tasks start
    pub queue: QueueKind,
    /// how often entries are greeted, milliseconds
    pub beat_ms: u64,
    /// between two heartbeats to the same agent, milliseconds
    pub heartbeat_ms: u64,
    /// how long acknowledged heartbeats let an agent act as home, milliseconds
    pub lease_ms: u64,
    /// an agent that leaves heartbeats unanswered for this long is lost, milliseconds
    pub suspect_ms: u64,
    /// a backend server that has not renewed for this long is gone, milliseconds
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
            queue: QueueKind::default(),
            beat_ms: 500,
            heartbeat_ms: 1500,
            lease_ms: 5000,
            suspect_ms: 4000,
            renew_ms: 2000,
            retention_ms: RETENTION_MS,
            skew_ms: SKEW_MS,
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
        let mut faults = common(&self.name, &self.platform, &self.token);
        if self.service.is_empty() {
            faults.push(fault("service", "is missing: name the service of the backend server"));
        } else if let Some(why) = name_fault(&self.service) {
            faults.push(fault("service", why));
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
        at_least("retention_ms", self.retention_ms, LEAST_RETENTION_MS, &mut faults);
        at_least("records", self.records as u64, 100, &mut faults);
        at_least("record_bytes", self.record_bytes as u64, 1 << 20, &mut faults);
        faults
    }
}

/// Reads a settings file and checks it whole.
///
/// # Errors
/// When the file can't be read or parsed, or with all its faults at once.
pub fn load<S: DeserializeOwned + Validate>(path: &str) -> Result<S> {
    let text = fs::read_to_string(path)
        .map_err(|e| Error::Read { path: path.to_owned(), why: e.to_string() })?;
    let fields: Map<String, Value> = serde_json::from_str(&text)
        .map_err(|e| Error::Parse { path: path.to_owned(), why: e.to_string() })?;
    let (mut faults, sound) = each_alone::<S>(fields);
    let settings: S = serde_json::from_value(Value::Object(sound))
        .map_err(|e| Error::Parse { path: path.to_owned(), why: e.to_string() })?;
    faults.extend(settings.faults());
    if faults.is_empty() {
        return Ok(settings);
    }
    Err(Error::Faults { path: path.to_owned(), faults })
}

/// Reads each field by itself, so that one fault doesn't hide the next.
fn each_alone<S: DeserializeOwned>(fields: Map<String, Value>) -> (Vec<Fault>, Map<String, Value>) {
    let mut faults = Vec::new();
    let mut sound = Map::new();
    for (name, value) in fields {
        let alone = Map::from_iter([(name.clone(), value.clone())]);
        match serde_json::from_value::<S>(Value::Object(alone)) {
            Ok(_) => drop(sound.insert(name, value)),
            Err(e) => faults.push(fault(&name, &e.to_string())),
        }
    }
    (faults, sound)
}

pub(crate) fn common(name: &str, platform: &str, token: &Token) -> Vec<Fault> {
    let mut faults = identity(name, token);
    if !platform.starts_with("http://") {
        faults.push(fault("platform", "must be a URL that starts with http://"));
    }
    faults
}

pub(crate) fn identity(name: &str, token: &Token) -> Vec<Fault> {
    let mut faults = Vec::new();
    if let Some(why) = name_fault(name) {
        faults.push(fault("name", why));
    }
    if token.is_empty() {
        faults.push(fault("token", "is missing: every process of the fleet shares one"));
    }
    faults
}

pub(crate) fn at_least(field: &str, value: u64, least: u64, faults: &mut Vec<Fault>) {
    if value < least {
        faults.push(fault(field, &format!("is {value}, must be at least {least}")));
    }
}

pub(crate) fn fault(field: &str, why: &str) -> Fault {
    Fault { field: field.to_owned(), why: why.to_owned() }
}
