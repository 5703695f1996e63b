use std::{sync::Arc, time::Duration};

use base::{Name, Uptime};
use slotmap::new_key_type;

use crate::{AgentLoad, Class, Resources, SessionId};

new_key_type! {
    /// Key of a batch in the scheduler.
    pub struct BatchKey;
}

/// Tasks of one job that an entry places on one agent.
#[derive(Clone, Debug)]
pub struct Batch {
    /// unique within an incarnation of the entry
    pub number: u64,
    pub job: Name,
    pub queue: Name,
    pub spec: Arc<str>,
    /// needed by each task
    pub resources: Resources,
    pub estimate: Duration,
    pub class: Class,
    /// longest wait in the queue
    pub max_wait: Duration,
    /// time left to the deadline
    pub time_left: Duration,
    pub tasks: Vec<BatchTask>,
}

/// One task of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchTask {
    pub index: u32,
    /// lowest number allowed for the next run
    pub run: u32,
}

/// How a placed task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Done,
    /// ran, and the task itself failed
    Failed,
    /// may have run, and no longer does
    Lost,
    /// never ran, and never will
    NotRun,
}

/// How a placed task ended, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskResult {
    pub index: u32,
    /// number of the last run
    pub run: u32,
    pub ending: Ending,
    pub reason: Name,
    /// time from the start to the end
    pub run_time: Duration,
    /// the crash of the backend server that ended the run
    pub crash: Option<Crash>,
}

/// Crash of a backend server, as seen from a run that it ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crash {
    /// probability that the run caused it
    pub suspicion: f64,
    /// the run had certainly started, and the server certainly crashed
    pub proven: bool,
}

/// Crash of a backend server, as reported to all entries.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashReport {
    /// number of the crash since the start of the agent, from 1
    pub number: u64,
    /// for each queue, the probability that a task started as near to the crash by
    /// coincidence
    pub chances: Vec<(Name, f64)>,
}

/// State of the tasks of a batch.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    pub results: Vec<TaskResult>,
    /// tasks without a result
    pub pending: u32,
    pub load: AgentLoad,
    /// whether any task may have started
    pub started: bool,
}

/// What an agent has of a batch that its entry asks about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchLookup {
    Known(BatchKey),
    /// it did not arrive, and would not be accepted any more
    NeverReceived,
    /// it may have run; nothing of it runs, or will
    Forgotten,
}

/// Answer of an agent to a call about a batch.
#[derive(Clone, Debug)]
pub enum BatchStatus {
    Progress(Progress),
    /// as [`BatchLookup::NeverReceived`]
    NeverReceived,
    /// as [`BatchLookup::Forgotten`]
    Forgotten,
}

/// A batch in the scheduler.
#[derive(Clone, Debug)]
pub(crate) struct BatchState {
    pub session: SessionId,
    pub number: u64,
    pub job: Name,
    pub queue: Name,
    pub spec: Arc<str>,
    pub resources: Resources,
    pub estimate: Duration,
    pub class: Class,
    /// data centre of its entry
    pub centre: Name,
    pub results: Vec<TaskResult>,
    pub pending: u32,
    pub started: bool,
    /// not forgotten before then
    pub kept_until: Uptime,
    /// when the last task ended
    pub ended_at: Option<Uptime>,
}
