//! What an entry counts about jobs, as Prometheus reads it.

use std::{sync::atomic::AtomicU64, time::Duration};

use base::{Name, dropped_lines};
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

/// First bucket of the latency histograms, seconds.
const FIRST_BUCKET: f64 = 0.001;
const BUCKETS: u16 = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByAnswer {
    queue: String,
    answer: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByQueue {
    queue: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByEnding {
    ending: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByMethod {
    method: &'static str,
}

/// Counters and histograms of one entry.
pub struct Metrics {
    registry: Registry,
    jobs: Family<ByAnswer, Counter>,
    seconds: Family<ByQueue, Histogram>,
    endings: Family<ByEnding, Counter>,
    calls: Family<ByMethod, Counter>,
    sent: Counter,
    received: Counter,
    dropped: Gauge<u64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("egret");
        let jobs = Family::default();
        registry.register("jobs", "Jobs by queue and answer", jobs.clone());
        let new: fn() -> Histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        let seconds = Family::new_with_constructor(new);
        registry.register("job_seconds", "Time to the answer of a job", seconds.clone());
        let endings = Family::default();
        registry.register("task_endings", "Ends of placed tasks", endings.clone());
        let calls = Family::default();
        registry.register("calls", "Calls to other processes", calls.clone());
        let sent = Counter::default();
        registry.register("link_sent_bytes", "Bytes sent over links", sent.clone());
        let received = Counter::default();
        registry.register("link_received_bytes", "Bytes received over links", received.clone());
        let dropped = Gauge::default();
        registry.register("dropped_log_lines", "Log lines over the rate", dropped.clone());
        Self { registry, jobs, seconds, endings, calls, sent, received, dropped }
    }
}

impl Metrics {
    pub fn answered(&self, queue: &Name, answer: &'static str, took: Duration) {
        let queue = queue.to_string();
        self.jobs.get_or_create(&ByAnswer { queue: queue.clone(), answer }).inc();
        self.seconds.get_or_create(&ByQueue { queue }).observe(took.as_secs_f64());
    }

    pub fn ended(&self, ending: &'static str) {
        self.endings.get_or_create(&ByEnding { ending }).inc();
    }

    /// The page that Prometheus reads.
    pub fn page(&self) -> String {
        for method in Method::ALL {
            let calls = self.calls.get_or_create(&ByMethod { method: method.as_str() });
            calls.inner().store(method.count(), std::sync::atomic::Ordering::Relaxed);
        }
        let traffic = Traffic::now();
        self.sent.inner().store(traffic.sent, std::sync::atomic::Ordering::Relaxed);
        self.received.inner().store(traffic.received, std::sync::atomic::Ordering::Relaxed);
        self.dropped.set(dropped_lines());
        let mut page = String::new();
        if let Err(e) = encode(&mut page, &self.registry) {
            return format!("# metrics can't be written: {e}\n");
        }
        page
    }
}
