use std::sync::atomic::AtomicU64;

use daemon::{LinkMetrics, metrics_page};
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Prometheus metrics of one agent, shared by its threads.
pub struct Metrics {
    registry: Registry,
    /// queued tasks
    pub waiting: Gauge<u64, AtomicU64>,
    /// runs on the backend server
    pub running: Gauge<u64, AtomicU64>,
    /// version of the configuration in force; 0 before the first one
    pub config_version: Gauge<u64, AtomicU64>,
    /// 1 while the backend server drains
    pub draining: Gauge<u64, AtomicU64>,
    /// 1 while the backend server is slow after its start
    pub cold: Gauge<u64, AtomicU64>,
    /// runs stopped because the backend server exits before they can end
    pub cut_short: Counter<u64, AtomicU64>,
    links: LinkMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("egret");
        let waiting = Gauge::default();
        registry.register("tasks_waiting", "Tasks that wait for room", waiting.clone());
        let running = Gauge::default();
        registry.register("tasks_running", "Runs on the backend server", running.clone());
        let config_version = Gauge::default();
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            config_version.clone(),
        );
        let draining = Gauge::default();
        registry.register(
            "backend_draining",
            "1 while the backend server drains",
            draining.clone(),
        );
        let cold = Gauge::default();
        registry.register(
            "backend_cold",
            "1 while the backend server is slow after its start",
            cold.clone(),
        );
        let cut_short = Counter::default();
        registry.register(
            "runs_cut_short",
            "Runs stopped because the backend server exits before they can end",
            cut_short.clone(),
        );
        let links = LinkMetrics::register(&mut registry);
        Self { registry, waiting, running, config_version, draining, cold, cut_short, links }
    }
}

impl Metrics {
    /// Encodes the metrics for Prometheus.
    pub fn page(&self) -> String {
        self.links.refresh();
        metrics_page(&self.registry)
    }
}
