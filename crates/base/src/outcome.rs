use std::{fmt, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Outcome of a request, a task or a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// ran once, and its answer is complete
    Done,
    /// started and failed
    Failed,
    /// nothing ran, and nothing of this call will
    NotRun,
    /// may have run; it is never started again under this key
    Unknown,
}

impl Outcome {
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::Failed => "failed",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Final answer to one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub outcome: Outcome,
    /// response of the backend server
    pub body: Bytes,
    /// why the outcome is not `done`; empty otherwise
    pub reason: Name,
    /// when to retry, for `not-run`
    pub retry_after: Duration,
    /// time from the request to the backend server to its response
    pub run_time: Duration,
    /// agent that ran the task; empty if none did
    pub agent: Name,
}

impl Answer {
    pub fn done(body: Bytes, run_time: Duration, agent: Name) -> Self {
        Self { body, run_time, agent, ..Self::empty(Outcome::Done, "") }
    }

    pub fn failed(reason: &str, body: Bytes, run_time: Duration, agent: Name) -> Self {
        Self { body, run_time, agent, ..Self::empty(Outcome::Failed, reason) }
    }

    pub fn not_run(reason: &str, retry_after: Duration) -> Self {
        Self { retry_after, ..Self::empty(Outcome::NotRun, reason) }
    }

    pub fn unknown(reason: &str) -> Self {
        Self::empty(Outcome::Unknown, reason)
    }

    fn empty(outcome: Outcome, reason: &str) -> Self {
        Self {
            outcome,
            body: Bytes::new(),
            reason: reason.into(),
            retry_after: Duration::ZERO,
            run_time: Duration::ZERO,
            agent: "".into(),
        }
    }
}
