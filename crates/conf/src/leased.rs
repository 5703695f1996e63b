//! Settings of the programs that serve backend servers with leases.

use std::net::SocketAddr;

use base::{Name, Token};
use serde::Deserialize;
use topology::{ScheduleSettings, SelectorSettings};

use crate::{
    Fault, Validate,
    settings::{at_least, common, fault, identity},
};

/// Longest time that a program may take to stop, where no setting says otherwise.
const GRACE_S: f64 = 6.0;
const LEAST_GRACE_S: f64 = 0.5;
const MAX_GRACE_S: f64 = 3600.0;
const MAX_FAR: f64 = 100.0;
const MAX_MS: f64 = 3_600_000.0;
/// A visit opens a connection.
const LEAST_PAUSE_MS: f64 = 10.0;

/// Bounds of the lease chain, as the platform gives them.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// a caller whose connection broke sends its job again after this, milliseconds
    pub resend_ms: f64,
    /// longest lease that a backend server grants, milliseconds
    pub hold_ms: f64,
    /// longest time that a backend server takes to stop a run, milliseconds
    pub stop_ms: f64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { resend_ms: 1300.0, hold_ms: 1000.0, stop_ms: 50.0 }
    }
}

impl LeaseSettings {
    fn faults(&self) -> Vec<Fault> {
        let all = [
            ("lease.resend_ms", self.resend_ms),
            ("lease.hold_ms", self.hold_ms),
            ("lease.stop_ms", self.stop_ms),
        ];
        let wrong = all.into_iter().filter(|(_, v)| !(0.0..=MAX_MS).contains(v));
        wrong.map(|(f, v)| fault(f, &format!("is {v}, must be from 0 to {MAX_MS}"))).collect()
    }
}

/// How an agent of a large fleet keeps in touch with entries.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VisitSettings {
    /// entries that it counts on, whether they need it or not
    pub firm: usize,
    /// between two visits to entries that don't need it, milliseconds
    pub pause_ms: f64,
}

impl Default for VisitSettings {
    fn default() -> Self {
        let ScheduleSettings { pinned: firm, interval: pause } = ScheduleSettings::default();
        Self { firm, pause_ms: pause.as_secs_f64() * 1000.0 }
    }
}

impl VisitSettings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        at_least("visits.firm", self.firm as u64, 1, &mut faults);
        if !(LEAST_PAUSE_MS..=MAX_MS).contains(&self.pause_ms) {
            let why = format!("is {}, must be from {LEAST_PAUSE_MS} to {MAX_MS}", self.pause_ms);
            faults.push(fault("visits.pause_ms", &why));
        }
        faults
    }
}

/// Settings of an entry that places leased tasks.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchSettings {
    pub name: Name,
    pub centre: Name,
    /// where callers come in over HTTP
    pub http: SocketAddr,
    /// where the balancer asks whether this entry is ready
    pub health: SocketAddr,
    /// where metrics are read
    pub metrics: SocketAddr,
    /// where agents and other entries come in over RPC
    pub rpc: SocketAddr,
    /// the same as others see it, where a port mapping stands between
    pub advertised: Option<SocketAddr>,
    /// addresses of entries; those of this data centre's list may be gone
    #[serde(rename = "entries")]
    pub entry_addresses: Vec<SocketAddr>,
    /// RPC port of every entry, where it differs from the one in `entries`
    pub entry_port: Option<u16>,
    /// URL of the platform
    pub platform: String,
    pub token: Token,
    /// largest body of a request, bytes
    pub body_bytes: usize,
    /// longest time from the stop signal to the end, seconds
    pub grace_s: f64,
    /// run time far from a job's data over that near it
    pub far_factor: f64,
    /// agents of each service that are enough for this entry
    pub circle: usize,
    pub lease: LeaseSettings,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            name: "entry".into(),
            centre: "".into(),
            http: SocketAddr::from(([127, 0, 0, 1], 7100)),
            health: SocketAddr::from(([127, 0, 0, 1], 7101)),
            metrics: SocketAddr::from(([127, 0, 0, 1], 7102)),
            rpc: SocketAddr::from(([127, 0, 0, 1], 7200)),
            advertised: None,
            entry_addresses: Vec::new(),
            entry_port: None,
            platform: "http://127.0.0.1:7000".to_owned(),
            token: Token::default(),
            body_bytes: 1 << 20,
            grace_s: GRACE_S,
            far_factor: 1.5,
            circle: SelectorSettings::default().target_agents,
            lease: LeaseSettings::default(),
        }
    }
}

impl DispatchSettings {
    /// RPC address that others are told.
    pub fn advertised_rpc(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.rpc)
    }

    /// RPC addresses of the entries named.
    pub fn entries(&self) -> Vec<SocketAddr> {
        with_port(&self.entry_addresses, self.entry_port)
    }
}

impl Validate for DispatchSettings {
    fn name(&self) -> &str {
        &self.name
    }

    fn faults(&self) -> Vec<Fault> {
        let mut faults = common(&self.name, &self.platform, &self.token);
        at_least("body_bytes", self.body_bytes as u64, 1024, &mut faults);
        if !(1.0..=MAX_FAR).contains(&self.far_factor) {
            let why = format!("is {}, must be from 1 to {MAX_FAR}", self.far_factor);
            faults.push(fault("far_factor", &why));
        }
        at_least("circle", self.circle as u64, 1, &mut faults);
        faults.extend(grace_fault(self.grace_s));
        faults.extend(self.lease.faults());
        faults
    }
}

/// Settings of an agent beside a backend server with leases.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerSettings {
    pub name: Name,
    /// service its backend server serves
    pub service: Name,
    pub centre: Name,
    /// where the backend server announces itself over HTTP
    pub http: SocketAddr,
    /// where metrics are read
    pub metrics: SocketAddr,
    /// where the backend server takes orders
    pub backend: SocketAddr,
    /// addresses of entries; some may be gone
    #[serde(rename = "entries")]
    pub entry_addresses: Vec<SocketAddr>,
    /// RPC port of every entry, where it differs from the one in `entries`
    pub entry_port: Option<u16>,
    pub token: Token,
    /// longest time from the stop signal to the end, seconds
    pub grace_s: f64,
    pub visits: VisitSettings,
    pub lease: LeaseSettings,
}

impl Default for RunnerSettings {
    fn default() -> Self {
        Self {
            name: "agent".into(),
            service: "".into(),
            centre: "".into(),
            http: SocketAddr::from(([127, 0, 0, 1], 7300)),
            metrics: SocketAddr::from(([127, 0, 0, 1], 7302)),
            backend: SocketAddr::from(([127, 0, 0, 1], 7500)),
            entry_addresses: Vec::new(),
            entry_port: None,
            token: Token::default(),
            grace_s: GRACE_S,
            visits: VisitSettings::default(),
            lease: LeaseSettings::default(),
        }
    }
}

impl RunnerSettings {
    /// RPC addresses of the entries named.
    pub fn entries(&self) -> Vec<SocketAddr> {
        with_port(&self.entry_addresses, self.entry_port)
    }
}

impl Validate for RunnerSettings {
    fn name(&self) -> &str {
        &self.name
    }

    fn faults(&self) -> Vec<Fault> {
        let mut faults = identity(&self.name, &self.token);
        if self.service.is_empty() {
            faults.push(fault("service", "is missing: name the service of the backend server"));
        }
        faults.extend(grace_fault(self.grace_s));
        faults.extend(self.visits.faults());
        faults.extend(self.lease.faults());
        faults
    }
}

fn with_port(entries: &[SocketAddr], port: Option<u16>) -> Vec<SocketAddr> {
    let entries = entries.iter();
    entries.map(|e| SocketAddr::new(e.ip(), port.unwrap_or(e.port()))).collect()
}

fn grace_fault(grace_s: f64) -> Option<Fault> {
    let range = LEAST_GRACE_S..=MAX_GRACE_S;
    let why = format!("is {grace_s}, must be from {LEAST_GRACE_S} to {MAX_GRACE_S}");
    (!range.contains(&grace_s)).then(|| fault("grace_s", &why))
}
