//! What an agent tells of its runs, as Prometheus reads it.

use std::sync::atomic::{AtomicU64, Ordering};

use base::dropped_lines;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use wire::{Method, Traffic};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByMethod {
    method: &'static str,
}

/// Gauges and counters of one agent; shared by its threads.
pub struct Metrics {
    registry: Registry,
    /// tasks that wait
    pub waiting: Gauge<u64, AtomicU64>,
    /// runs on the backend server
    pub running: Gauge<u64, AtomicU64>,
    calls: Family<ByMethod, Counter>,
    sent: Counter,
    received: Counter,
    dropped: Gauge<u64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("egret");
        let waiting = Gauge::default();
        registry.register("tasks_waiting", "Tasks that wait for room", waiting.clone());
        let running = Gauge::default();
        registry.register("tasks_running", "Runs on the backend server", running.clone());
        let calls = Family::default();
        registry.register("calls", "Calls to other processes", calls.clone());
        let sent = Counter::default();
        registry.register("link_sent_bytes", "Bytes sent over links", sent.clone());
        let received = Counter::default();
        registry.register("link_received_bytes", "Bytes received over links", received.clone());
        let dropped = Gauge::default();
        registry.register("dropped_log_lines", "Log lines over the rate", dropped.clone());
        Self { registry, waiting, running, calls, sent, received, dropped }
    }
}

impl Metrics {
    /// The page that Prometheus reads.
    pub fn page(&self) -> String {
        for method in Method::ALL {
            let calls = self.calls.get_or_create(&ByMethod { method: method.as_str() });
            calls.inner().store(method.count(), Ordering::Relaxed);
        }
        let traffic = Traffic::now();
        self.sent.inner().store(traffic.sent, Ordering::Relaxed);
        self.received.inner().store(traffic.received, Ordering::Relaxed);
        self.dropped.set(dropped_lines());
        let mut page = String::new();
        if let Err(e) = encode(&mut page, &self.registry) {
            return format!("# metrics can't be written: {e}\n");
        }
        page
    }
}
