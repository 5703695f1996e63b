use std::{sync::Arc, time::Duration};

use base::Name;
use conf::Queue;
use lease::Resources;

/// A job as a caller hands it in: tasks of one size that may run at once.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: Name,
    /// name of its queue
    pub queue: Name,
    pub rules: Queue,
    pub spec: Arc<str>,
    pub count: u32,
    /// of each task
    pub resources: Resources,
    pub estimate: Duration,
    /// how long the caller waits
    pub time_left: Duration,
    /// label that the backend server must have; empty for none
    pub label: Name,
    /// rack where its data is; empty for none
    pub rack: Name,
    /// most tasks on one agent; 0 for any number
    pub max_per_agent: u32,
}

/// The one answer to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    Completed,
    /// a task has failed as often as it may
    Failed,
    /// nothing of it ran, and nothing of it will
    Refused {
        why: Name,
        retry_after: Duration,
    },
    /// given up; some of it ran
    Abandoned {
        why: Name,
    },
}

impl JobAnswer {
    pub fn as_str(&self) -> &'static str {
        match self {
            JobAnswer::Completed => "completed",
            JobAnswer::Failed => "failed",
            JobAnswer::Refused { .. } => "refused",
            JobAnswer::Abandoned { .. } => "given-up",
        }
    }

    /// Why it isn't completed; empty when it is.
    pub fn why(&self) -> &str {
        match self {
            JobAnswer::Completed => "",
            JobAnswer::Failed => "a task failed as often as it may",
            JobAnswer::Refused { why, .. } | JobAnswer::Abandoned { why } => why,
        }
    }
}
