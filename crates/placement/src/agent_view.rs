use std::time::Duration;

use lease::{AgentLoad, Resources};

/// State of an agent known to an entry that places tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentView {
    pub load: AgentLoad,
    /// resources of the tasks sent to it since its load was reported
    pub unreported: Resources,
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

    /// Expected run time of a task there.
    pub(crate) fn run_time(&self, estimate: Duration) -> Duration {
        // the bounds keep the run time above zero and distance from shortening it
        estimate.mul_f64(self.load.slowness.max(0.01) * self.distance_factor.max(1.0))
    }
}
