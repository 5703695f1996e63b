use base::Name;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};
use wire::{Load, Method, Traffic};

use crate::run::MemoryUse;

pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Labels that identify the metrics of this agent.
#[derive(Clone, Debug)]
pub struct Labels {
    pub name: Name,
    pub service: Name,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AgentLabels {
    agent: String,
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MethodLabels {
    method: &'static str,
}

/// Encodes the current metrics for Prometheus.
///
/// # Errors
/// When encoding fails.
pub fn page(
    labels: &Labels,
    load: &Load,
    memory: &MemoryUse,
    config_version: u64,
) -> Result<String, std::fmt::Error> {
    let traffic = Traffic::totals();
    let gauges = [
        ("egret_queued", "Tasks that wait", u64::from(load.queued)),
        ("egret_running", "Tasks that run", load.running.into()),
        ("egret_slots", "Tasks that may run at once", load.slots.into()),
        ("egret_ready", "Whether new work is taken", load.ready.into()),
        ("egret_backlog_ms", "Run time waiting and left", load.backlog.as_millis() as u64),
        ("egret_mean_run_us", "Mean observed run time", load.mean_run.as_micros() as u64),
        ("egret_claims", "Claims and bars kept as home", memory.claims as u64),
        ("egret_claim_bytes", "Memory of claims and bars", memory.claim_bytes as u64),
        ("egret_records", "Records of tasks kept", memory.records as u64),
        ("egret_record_bytes", "Memory of records with answers", memory.record_bytes as u64),
        ("egret_configuration_version", "Fleet configuration in force", config_version),
        ("egret_invariants_broken", "Invariants broken since the start", base::broken_count()),
        ("egret_link_received_bytes", "Bytes received over links", traffic.received),
        ("egret_link_sent_bytes", "Bytes sent over links", traffic.sent),
        ("egret_link_messages", "Messages sent over links", traffic.messages),
    ];
    let agent_labels =
        AgentLabels { agent: labels.name.to_string(), service: labels.service.to_string() };
    let mut registry = Registry::default();
    for (name, help, value) in gauges {
        let family = Family::<AgentLabels, Gauge>::default();
        family.get_or_create(&agent_labels).set(value as i64);
        registry.register(name, help, family);
    }
    register_calls(&mut registry);
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}

fn register_calls(registry: &mut Registry) {
    let calls = Family::<MethodLabels, Gauge>::default();
    for method in Method::ALL {
        let labels = MethodLabels { method: method.as_str() };
        calls.get_or_create(&labels).set(method.calls() as i64);
    }
    registry.register("egret_calls", "Calls to other processes by method", calls);
}
