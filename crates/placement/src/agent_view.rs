use lease::{AgentLoad, Resources};

/// An agent as an entry sees it when it places tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentView {
    pub load: AgentLoad,
    /// what was sent there since its space was reported
    pub unreported: Resources,
    /// not to be used for this job
    pub excluded: bool,
    /// run time there against elsewhere, for tasks whose data is far away
    pub distance_factor: f64,
    /// tasks of this job that it may still get; `None` for any number
    pub max_tasks: Option<usize>,
}
