//! Prometheus metrics of an entry.

use std::{sync::atomic::AtomicU64, time::Duration};

use base::Outcome;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use wire::{Method, Traffic};

pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Upper bound of the first bucket of the latency histogram.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
const BUCKETS: u16 = 18;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabels {
    code: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MethodLabels {
    method: &'static str,
}

/// What a caller sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionKind {
    Request,
    Job,
}

impl SubmissionKind {
    fn as_str(self) -> &'static str {
        match self {
            SubmissionKind::Request => "request",
            SubmissionKind::Job => "job",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecisionLabels {
    decision: &'static str,
}

/// Decision about an offer or a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// a task was offered to an agent
    Offer,
    /// a task was offered again, at the cost of the retry budget
    Retry,
    /// a further offer was not made: the retry budget is spent
    NoRetry,
    /// a submission was refused: it can't finish by its deadline
    Backlog,
    /// a submission was refused: its team is over its share or quota
    Quota,
}

impl Decision {
    fn as_str(self) -> &'static str {
        match self {
            Decision::Offer => "offer",
            Decision::Retry => "retry",
            Decision::NoRetry => "no-retry",
            Decision::Backlog => "refused-backlog",
            Decision::Quota => "refused-quota",
        }
    }
}

/// Counters and gauges of this entry.
pub struct Metrics {
    registry: Registry,
    answers: Family<OutcomeLabels, Counter>,
    latency: Family<ServiceLabels, Histogram>,
    in_flight: Family<ServiceLabels, Gauge>,
    refused: Family<CodeLabels, Counter>,
    calls: Family<MethodLabels, Gauge<u64, AtomicU64>>,
    decisions: Family<DecisionLabels, Counter>,
    agents: Gauge,
    config_version: Gauge<u64, AtomicU64>,
    broken_invariants: Gauge<u64, AtomicU64>,
    received: Gauge<u64, AtomicU64>,
    sent: Gauge<u64, AtomicU64>,
    messages: Gauge<u64, AtomicU64>,
}

/// Counts a submission as in flight until dropped.
pub struct InFlight {
    gauge: Gauge,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::default(),
            answers: Family::default(),
            latency: Family::new_with_constructor(histogram),
            in_flight: Family::default(),
            refused: Family::default(),
            calls: Family::default(),
            decisions: Family::default(),
            agents: Gauge::default(),
            config_version: Gauge::default(),
            broken_invariants: Gauge::default(),
            received: Gauge::default(),
            sent: Gauge::default(),
            messages: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Counts a submission as in flight until the guard is dropped.
    pub fn track_in_flight(&self, service: &str) -> InFlight {
        let gauge = self.in_flight.get_or_create(&service_labels(service)).clone();
        gauge.inc();
        InFlight { gauge }
    }

    pub fn record_answer(
        &self,
        service: &str,
        kind: SubmissionKind,
        outcome: Outcome,
        latency: Duration,
    ) {
        let labels = OutcomeLabels {
            service: service.to_owned(),
            kind: kind.as_str(),
            outcome: outcome.as_str(),
        };
        self.answers.get_or_create(&labels).inc();
        self.latency.get_or_create(&service_labels(service)).observe(latency.as_secs_f64());
    }

    /// Counts a refusal of bad input.
    pub fn record_refusal(&self, code: &'static str) {
        self.refused.get_or_create(&CodeLabels { code }).inc();
    }

    pub fn record_decision(&self, decision: Decision) {
        self.decisions.get_or_create(&DecisionLabels { decision: decision.as_str() }).inc();
    }

    /// The current metrics in the OpenMetrics text format.
    ///
    /// # Errors
    /// When they can't be encoded.
    pub fn render(&self, version: u64, agents: usize) -> Result<String, std::fmt::Error> {
        self.config_version.set(version);
        self.agents.set(agents as i64);
        self.broken_invariants.set(base::broken_count());
        for method in Method::ALL {
            let labels = MethodLabels { method: method.as_str() };
            self.calls.get_or_create(&labels).set(method.calls());
        }
        let traffic = Traffic::totals();
        self.received.set(traffic.received);
        self.sent.set(traffic.sent);
        self.messages.set(traffic.messages);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("egret_answers", "Final answers by outcome", self.answers.clone());
        r.register("egret_latency_seconds", "Time to the final answer", self.latency.clone());
        r.register("egret_in_flight", "Submissions without an answer", self.in_flight.clone());
        r.register("egret_refused", "Refusals of bad input by code", self.refused.clone());
        let decisions = self.decisions.clone();
        r.register("egret_decisions", "Offers, retries and refusals of the policy", decisions);
        r.register("egret_agents", "Agents that greet this entry", self.agents.clone());
        r.register("egret_calls", "Calls to agents by method", self.calls.clone());
        let version = self.config_version.clone();
        r.register("egret_configuration_version", "Fleet configuration in force", version);
        let broken = self.broken_invariants.clone();
        r.register("egret_invariants_broken", "Invariants broken since the start", broken);
        let received = self.received.clone();
        r.register("egret_link_received_bytes", "Bytes received over links", received);
        r.register("egret_link_sent_bytes", "Bytes sent over links", self.sent.clone());
        r.register("egret_link_messages", "Messages sent over links", self.messages.clone());
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS))
}

fn service_labels(service: &str) -> ServiceLabels {
    ServiceLabels { service: service.to_owned() }
}
