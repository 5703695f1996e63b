use std::sync::atomic::{AtomicU64, Ordering};

use base::dropped_lines;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use wire::{Method, Traffic};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MethodLabels {
    method: &'static str,
}

/// Metrics of a daemon's links and of its log.
#[derive(Default)]
pub struct LinkMetrics {
    calls: Family<MethodLabels, Counter>,
    sent: Counter,
    received: Counter,
    writes: Counter,
    dropped: Gauge<u64, AtomicU64>,
}

impl LinkMetrics {
    pub fn register(registry: &mut Registry) -> Self {
        let it = Self::default();
        registry.register("calls", "Calls to other processes", it.calls.clone());
        registry.register("link_sent_bytes", "Bytes sent over links", it.sent.clone());
        registry.register("link_received_bytes", "Bytes received over links", it.received.clone());
        registry.register(
            "link_writes",
            "System calls that sent bytes over links",
            it.writes.clone(),
        );
        registry.register("dropped_log_lines", "Log lines over the rate", it.dropped.clone());
        it
    }

    /// Copies the counts of this process into the metrics.
    pub fn refresh(&self) {
        for method in Method::ALL {
            let calls = self.calls.get_or_create(&MethodLabels { method: method.as_str() });
            calls.inner().store(method.calls(), Ordering::Relaxed);
        }
        let traffic = Traffic::totals();
        self.sent.inner().store(traffic.sent, Ordering::Relaxed);
        self.received.inner().store(traffic.received, Ordering::Relaxed);
        self.writes.inner().store(traffic.writes, Ordering::Relaxed);
        self.dropped.set(dropped_lines());
    }
}
