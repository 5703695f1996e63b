//! Prometheus metrics of an entry's jobs.

use std::{
    sync::{Mutex, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use base::Name;
use daemon::{LinkMetrics, metrics_page};
use lease::Class;
use placement::ClassBacklog;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// First bucket of the latency histograms.
const FIRST_BUCKET_S: f64 = 0.001;
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
struct ByClass {
    class: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByEnding {
    ending: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByRack {
    rack: String,
}

/// Counters and histograms of one entry.
pub struct Metrics {
    registry: Registry,
    jobs: Family<ByAnswer, Counter>,
    seconds: Family<ByQueue, Histogram>,
    endings: Family<ByEnding, Counter>,
    waiting: Family<ByClass, Gauge<u64, AtomicU64>>,
    refused: Family<ByClass, Counter>,
    backlog_seconds: Family<ByClass, Histogram>,
    /// version of the configuration in force; 0 before the first one
    pub config_version: Gauge<u64, AtomicU64>,
    pub drained_centres: Gauge<u64, AtomicU64>,
    pub confined_queues: Gauge<u64, AtomicU64>,
    rack_pressures: Family<ByRack, Gauge<f64, AtomicU64>>,
    /// racks in `rack_pressures`
    shown_racks: Mutex<Vec<ByRack>>,
    links: LinkMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("egret");
        let jobs = Family::default();
        registry.register("jobs", "Jobs by queue and answer", jobs.clone());
        let new: fn() -> Histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS));
        let seconds = Family::new_with_constructor(new);
        registry.register("job_seconds", "Time to the answer of a job", seconds.clone());
        let endings = Family::default();
        registry.register("task_endings", "Ends of placed tasks", endings.clone());
        let waiting = Family::default();
        registry.register("backlog_jobs", "Jobs that wait by class", waiting.clone());
        let refused = Family::default();
        registry.register("refused_jobs", "Refused jobs by class", refused.clone());
        let backlog_seconds = Family::new_with_constructor(new);
        registry.register(
            "backlog_seconds",
            "Time that jobs spent in the backlog by class",
            backlog_seconds.clone(),
        );
        let config_version = Gauge::default();
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            config_version.clone(),
        );
        let drained_centres = Gauge::default();
        registry.register(
            "drained_centres",
            "Data centres that operators have drained",
            drained_centres.clone(),
        );
        let confined_queues = Gauge::default();
        registry.register(
            "confined_queues",
            "Queues on few agents only, because their jobs crash backend servers",
            confined_queues.clone(),
        );
        let rack_pressures = Family::default();
        registry.register(
            "rack_pressure",
            "Share of the demand divided by share of the capacity, of the racks with the highest",
            rack_pressures.clone(),
        );
        let links = LinkMetrics::register(&mut registry);
        let shown_racks = Mutex::default();
        Self {
            registry,
            jobs,
            seconds,
            endings,
            waiting,
            refused,
            backlog_seconds,
            config_version,
            drained_centres,
            confined_queues,
            rack_pressures,
            shown_racks,
            links,
        }
    }
}

impl Metrics {
    pub fn record_answer(&self, queue: &Name, answer: &'static str, took: Duration) {
        let queue = queue.to_string();
        self.jobs.get_or_create(&ByAnswer { queue: queue.clone(), answer }).inc();
        self.seconds.get_or_create(&ByQueue { queue }).observe(took.as_secs_f64());
    }

    pub fn record_ending(&self, ending: &'static str) {
        self.endings.get_or_create(&ByEnding { ending }).inc();
    }

    /// Shows these racks and no others.
    pub fn set_rack_pressures(&self, racks: &[(Name, f64)]) {
        let mut shown = self.shown_racks.lock().unwrap_or_else(PoisonError::into_inner);
        let racks: Vec<_> =
            racks.iter().map(|(r, p)| (ByRack { rack: r.to_string() }, p)).collect();
        for gone in shown.iter().filter(|s| racks.iter().all(|(r, _)| r != *s)) {
            self.rack_pressures.remove(gone);
        }
        for (rack, pressure) in &racks {
            self.rack_pressures.get_or_create(rack).set(**pressure);
        }
        *shown = racks.into_iter().map(|(r, _)| r).collect();
    }

    pub fn record_refusal(&self, class: Class) {
        self.refused.get_or_create(&ByClass { class: class.index() }).inc();
    }

    /// Records the time that a job spent in the backlog.
    pub fn record_wait(&self, class: Class, wait: Duration) {
        let of_class = ByClass { class: class.index() };
        self.backlog_seconds.get_or_create(&of_class).observe(wait.as_secs_f64());
    }

    /// Sets the jobs that wait.
    pub fn set_backlog(&self, classes: &[ClassBacklog]) {
        for it in classes {
            let of_class = ByClass { class: it.class.index() };
            self.waiting.get_or_create(&of_class).set(it.jobs as u64);
        }
    }

    /// The metrics page in the text format of Prometheus.
    pub fn page(&self) -> String {
        self.links.refresh();
        metrics_page(&self.registry)
    }
}
