//! Settings of the programs that run tasks on backend servers under leases.

use std::net::SocketAddr;

use base::{Name, Token};
use serde::Deserialize;
use topology::{ScheduleSettings, SelectorSettings};

use crate::{
    Fault, Validate,
    settings::{at_least, common_faults, fault, identity_faults},
};

const DEFAULT_GRACE_S: f64 = 6.0;
const MIN_GRACE_S: f64 = 0.5;
const MAX_GRACE_S: f64 = 3600.0;
const MAX_FAR_FACTOR: f64 = 100.0;
const MAX_MS: f64 = 3_600_000.0;
/// Lower bound on the interval, since each visit opens a connection.
const MIN_VISIT_INTERVAL_MS: f64 = 10.0;

/// Bounds on lease timings, given by the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// delay after which a caller whose connection broke resends its job, milliseconds
    pub resend_ms: f64,
    /// longest lease of a backend server, milliseconds
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
        let invalid = all.into_iter().filter(|(_, v)| !(0.0..=MAX_MS).contains(v));
        invalid.map(|(f, v)| fault(f, &format!("is {v}, must be from 0 to {MAX_MS}"))).collect()
    }
}

/// Connections of an agent of a large fleet to entries.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VisitSettings {
    /// entries that it always stays connected to, even if they don't need it
    #[serde(rename = "firm")]
    pub pinned: usize,
    /// interval of visits to the other entries that don't need it, milliseconds
    #[serde(rename = "pause_ms")]
    pub interval_ms: f64,
}

impl Default for VisitSettings {
    fn default() -> Self {
        let ScheduleSettings { pinned, interval } = ScheduleSettings::default();
        Self { pinned, interval_ms: interval.as_secs_f64() * 1000.0 }
    }
}

impl VisitSettings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        at_least("visits.firm", self.pinned as u64, 1, &mut faults);
        if !(MIN_VISIT_INTERVAL_MS..=MAX_MS).contains(&self.interval_ms) {
            let reason = format!(
                "is {}, must be from {MIN_VISIT_INTERVAL_MS} to {MAX_MS}",
                self.interval_ms
            );
            faults.push(fault("visits.pause_ms", &reason));
        }
        faults
    }
}

/// Settings of an entry that places tasks under leases.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchSettings {
    pub name: Name,
    pub centre: Name,
    /// HTTP address for callers
    pub http: SocketAddr,
    /// HTTP address of the readiness check for the load balancer
    pub health: SocketAddr,
    /// HTTP address of the metrics page
    pub metrics: SocketAddr,
    /// RPC address for agents and other entries
    pub rpc: SocketAddr,
    /// RPC address that others connect to, where a port mapping makes it differ
    pub advertised: Option<SocketAddr>,
    /// addresses of entries in this data centre; some may be gone
    #[serde(rename = "entries")]
    pub entry_addresses: Vec<SocketAddr>,
    /// RPC port of every entry, where it differs from the one in `entries`
    pub entry_port: Option<u16>,
    /// URL of the platform
    pub platform: String,
    pub token: Token,
    /// largest body of a request, bytes
    pub body_bytes: usize,
    /// longest time from the stop signal to the exit, seconds
    pub grace_s: f64,
    /// run time far from a job's data, as a multiple of the run time near it
    pub far_factor: f64,
    /// agents of each service that this entry needs
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
            grace_s: DEFAULT_GRACE_S,
            far_factor: 1.5,
            circle: SelectorSettings::default().target_agents,
            lease: LeaseSettings::default(),
        }
    }
}

impl DispatchSettings {
    /// RPC address that others connect to.
    pub fn advertised_rpc(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.rpc)
    }

    /// RPC addresses of the configured entries.
    pub fn entries(&self) -> Vec<SocketAddr> {
        with_port(&self.entry_addresses, self.entry_port)
    }
}

impl Validate for DispatchSettings {
    fn name(&self) -> &str {
        &self.name
    }

    fn faults(&self) -> Vec<Fault> {
        let mut faults = common_faults(&self.name, &self.platform, &self.token);
        at_least("body_bytes", self.body_bytes as u64, 1024, &mut faults);
        if !(1.0..=MAX_FAR_FACTOR).contains(&self.far_factor) {
            let reason = format!("is {}, must be from 1 to {MAX_FAR_FACTOR}", self.far_factor);
            faults.push(fault("far_factor", &reason));
        }
        at_least("circle", self.circle as u64, 1, &mut faults);
        faults.extend(grace_fault(self.grace_s));
        faults.extend(self.lease.faults());
        faults
    }
}

/// Settings of an agent that runs tasks on its backend server under leases.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerSettings {
    pub name: Name,
    /// service its backend server serves
    pub service: Name,
    pub centre: Name,
    /// HTTP address for announcements of the backend server
    pub http: SocketAddr,
    /// HTTP address of the metrics page
    pub metrics: SocketAddr,
    /// address at which the backend server takes orders
    pub backend: SocketAddr,
    /// addresses of entries; some may be gone
    #[serde(rename = "entries")]
    pub entry_addresses: Vec<SocketAddr>,
    /// RPC port of every entry, where it differs from the one in `entries`
    pub entry_port: Option<u16>,
    pub token: Token,
    /// longest time from the stop signal to the exit, seconds
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
            grace_s: DEFAULT_GRACE_S,
            visits: VisitSettings::default(),
            lease: LeaseSettings::default(),
        }
    }
}

impl RunnerSettings {
    /// RPC addresses of the configured entries.
    pub fn entries(&self) -> Vec<SocketAddr> {
        with_port(&self.entry_addresses, self.entry_port)
    }
}

impl Validate for RunnerSettings {
    fn name(&self) -> &str {
        &self.name
    }

    fn faults(&self) -> Vec<Fault> {
        let mut faults = identity_faults(&self.name, &self.token);
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
    let range = MIN_GRACE_S..=MAX_GRACE_S;
    let reason = format!("is {grace_s}, must be from {MIN_GRACE_S} to {MAX_GRACE_S}");
    (!range.contains(&grace_s)).then(|| fault("grace_s", &reason))
}
