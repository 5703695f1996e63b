use std::time::Duration;

use lease::{AgentLoad, CLASSES, Class, Resources};

/// Largest factor on an estimate: agents report at most 50, so that more is an error.
const MAX_FACTOR: f64 = 10_000.0;

/// State of an agent known to an entry that places tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentView {
    pub load: AgentLoad,
    /// resources of the tasks of each class sent to it since its load was reported
    pub unreported: [Resources; CLASSES],
    /// must not get tasks of this job
    pub excluded: bool,
    /// factor on the run time of tasks whose data is far from this agent
    pub distance_factor: f64,
    /// pressure of its rack if the job doesn't need that rack, else 0
    pub rack_pressure: f64,
    /// most further tasks of this job; `None` for any number
    pub max_tasks: Option<usize>,
}

impl AgentView {
    /// Whether it may get a task that needs these resources.
    pub(crate) fn is_usable(&self, resources: Resources) -> bool {
        self.load.ready && !self.excluded && resources.fits(self.load.capacity)
    }

    /// Resources that are free beside the tasks sent since its report.
    pub(crate) fn free(&self) -> Resources {
        self.unreported.into_iter().fold(self.load.free, Resources::minus)
    }

    /// Millicores of the tasks sent since its report that go before one of a class.
    pub(crate) fn unreported_cpu(&self, class: Class) -> u32 {
        let ahead = &self.unreported[..=class.index()];
        ahead.iter().fold(0, |sum, r| sum.saturating_add(r.cpu))
    }

    /// Expected run time of a task there.
    pub(crate) fn run_time(&self, estimate: Duration) -> Duration {
        // the bounds keep the run time above zero and distance from shortening it; no
        // report makes it overflow
        let factor = self.load.slowness.max(0.01) * self.distance_factor.max(1.0);
        estimate.mul_f64(factor.min(MAX_FACTOR))
    }
}
