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
    /// most further tasks of this job; `None` for any number
    pub max_tasks: Option<usize>,
}
