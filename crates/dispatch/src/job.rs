use std::{sync::Arc, time::Duration};

use base::Name;
use conf::Queue;
use lease::{Class, Resources};

/// Identity of a job. Callers choose the ids, so jobs of two queues may have the same one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JobKey {
    pub queue: Name,
    pub id: Name,
}

/// A job submitted by a caller: tasks of equal resources that may run in parallel.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: Name,
    /// name of its queue
    pub queue: Name,
    pub queue_settings: Queue,
    pub class: Class,
    /// number of classes of its service
    pub classes: usize,
    pub spec: Arc<str>,
    pub count: u32,
    /// needed by each task
    pub resources: Resources,
    pub estimate: Duration,
    /// how long the caller waits for the answer
    pub time_left: Duration,
    /// label that backend servers must have; empty for none
    pub label: Name,
    /// rack of its data; empty for none
    pub rack: Name,
    /// most tasks on one agent; 0 for no limit
    pub max_per_agent: u32,
}

impl Job {
    pub fn key(&self) -> JobKey {
        JobKey { queue: self.queue.clone(), id: self.id.clone() }
    }
}

/// Answer to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    Completed,
    /// a task has used up its attempts, or crashes backend servers
    Failed {
        reason: Name,
    },
    /// no task ran, and none will
    Refused {
        reason: Name,
        retry_after: Duration,
    },
    /// none of it ran, because another job with its id is in progress in its queue
    Conflict,
    /// stopped after some tasks may have run
    Abandoned {
        reason: Name,
    },
}

impl JobAnswer {
    pub fn as_str(&self) -> &'static str {
        match self {
            JobAnswer::Completed => "completed",
            JobAnswer::Failed { .. } => "failed",
            JobAnswer::Refused { .. } => "refused",
            JobAnswer::Conflict => "conflict",
            JobAnswer::Abandoned { .. } => "given-up",
        }
    }

    /// Why the job isn't completed; empty when it is.
    pub fn reason(&self) -> &str {
        match self {
            JobAnswer::Completed => "",
            JobAnswer::Conflict => "another job with this id is in progress in this queue",
            JobAnswer::Failed { reason }
            | JobAnswer::Refused { reason, .. }
            | JobAnswer::Abandoned { reason } => reason,
        }
    }
}
