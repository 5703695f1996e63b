use std::sync::atomic::{AtomicU64, Ordering};

use daemon::{LinkMetrics, metrics_page};
use lease::{CLASSES, ClassStats};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: u32,
}

/// Metrics of tasks by their class.
#[derive(Default)]
struct ClassMetrics {
    started: Family<ClassLabels, Counter>,
    returned: Family<ClassLabels, Counter>,
    waiting: Family<ClassLabels, Gauge<u64, AtomicU64>>,
    share: Family<ClassLabels, Gauge<f64, AtomicU64>>,
}

/// Prometheus metrics of one agent, shared by its threads.
pub struct Metrics {
    registry: Registry,
    /// queued tasks
    pub waiting: Gauge<u64, AtomicU64>,
    /// runs on the backend server
    pub running: Gauge<u64, AtomicU64>,
    /// version of the configuration in force; 0 before the first one
    pub config_version: Gauge<u64, AtomicU64>,
    /// 1 while the data centre of this agent is drained
    pub centre_drained: Gauge<u64, AtomicU64>,
    classes: ClassMetrics,
    /// 1 while the backend server drains
    pub draining: Gauge<u64, AtomicU64>,
    /// 1 while the backend server is slow after its start
    pub cold: Gauge<u64, AtomicU64>,
    /// runs stopped because the backend server exits before they can end
    pub cut_short: Counter<u64, AtomicU64>,
    /// crashes of the backend server that ended runs
    pub crashes: Counter<u64, AtomicU64>,
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
        let centre_drained = Gauge::default();
        registry.register(
            "centre_drained",
            "1 while operators have drained the data centre of this agent",
            centre_drained.clone(),
        );
        let classes = ClassMetrics::register(&mut registry);
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
        let crashes = Counter::default();
        registry.register(
            "backend_crashes",
            "Crashes of the backend server that ended runs",
            crashes.clone(),
        );
        let links = LinkMetrics::register(&mut registry);
        Self {
            registry,
            waiting,
            running,
            config_version,
            centre_drained,
            classes,
            draining,
            cold,
            cut_short,
            crashes,
            links,
        }
    }
}

impl Metrics {
    /// Sets the metrics of each class.
    pub fn set_classes(&self, stats: &[ClassStats; CLASSES]) {
        for (class, stats) in (0..).zip(stats) {
            self.classes.set(ClassLabels { class }, stats);
        }
    }

    /// Encodes the metrics for Prometheus.
    pub fn page(&self) -> String {
        self.links.refresh();
        metrics_page(&self.registry)
    }
}

impl ClassMetrics {
    fn register(registry: &mut Registry) -> Self {
        let it = Self::default();
        registry.register("class_tasks_started", "Tasks ordered to start", it.started.clone());
        registry.register("class_tasks_returned", "Tasks returned as not run", it.returned.clone());
        registry.register("class_tasks_waiting", "Tasks that wait for room", it.waiting.clone());
        registry.register("class_use_share", "Share of the recent use", it.share.clone());
        it
    }

    fn set(&self, labels: ClassLabels, stats: &ClassStats) {
        let started = self.started.get_or_create(&labels);
        started.inner().store(stats.started, Ordering::Relaxed);
        let returned = self.returned.get_or_create(&labels);
        returned.inner().store(stats.returned, Ordering::Relaxed);
        self.waiting.get_or_create(&labels).set(stats.waiting as u64);
        self.share.get_or_create(&labels).set(stats.share);
    }
}
