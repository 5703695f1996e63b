use std::{sync::Arc, time::Duration};

use base::{Name, Uptime};
use slotmap::new_key_type;

use crate::{AgentLoad, Resources, SessionId};

new_key_type! {
    /// A batch in the book.
    pub struct BatchKey;
}

/// Tasks of one job, placed together on one agent.
#[derive(Clone, Debug)]
pub struct Batch {
    /// unique in the life of the entry
    pub number: u64,
    pub job: Name,
    pub spec: Arc<str>,
    /// of each task
    pub resources: Resources,
    pub estimate: Duration,
    /// longest wait for the start
    pub max_wait: Duration,
    /// time left to the deadline
    pub time_left: Duration,
    pub tasks: Vec<Placement>,
}

/// One task of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    pub index: u32,
    /// lowest number that its next run may have
    pub run: u32,
}

/// How a placed task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Done,
    /// ran, and failed by itself
    Failed,
    /// may have run, and is over
    Lost,
    /// never started, and never will
    NotRun,
}

/// The end of a placed task, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskResult {
    pub index: u32,
    /// number of its last run
    pub run: u32,
    pub ending: Ending,
    pub reason: Name,
    /// time from the start to the end
    pub ran: Duration,
}

/// Where the tasks of a batch stand.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    pub results: Vec<TaskResult>,
    /// tasks not settled yet
    pub pending: u32,
    pub load: AgentLoad,
    /// whether any of it may have started
    pub started: bool,
}

/// A batch as the agent keeps it.
#[derive(Clone, Debug)]
pub(crate) struct BatchState {
    pub session: SessionId,
    pub number: u64,
    pub job: Name,
    pub spec: Arc<str>,
    pub resources: Resources,
    pub estimate: Duration,
    pub results: Vec<TaskResult>,
    pub pending: u32,
    pub started: bool,
    /// when the last task settled
    pub closed: Option<Uptime>,
}
