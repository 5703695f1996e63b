use std::{fmt, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Name;

/// The four outcomes of a request, of a task and of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// ran once, with its whole answer
    Done,
    /// started, and ended in an error
    Failed,
    /// nothing of it ran, and nothing of this call will
    NotRun,
    /// may have run; never started again under this key
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
    /// what the backend server sent
    pub body: Bytes,
    /// why it is not `done`; empty otherwise
    pub reason: Name,
    /// when to come back, for `not-run`
    pub retry_after: Duration,
    /// run time on the backend server
    pub run_time: Duration,
    /// agent that ran it; empty when none did
    pub agent: Name,
}

impl Answer {
    pub fn done(body: Bytes, ran: Duration, agent: Name) -> Self {
        Self { body, run_time: ran, agent, ..Self::empty(Outcome::Done, "") }
    }

    pub fn failed(reason: &str, body: Bytes, ran: Duration, agent: Name) -> Self {
        Self { body, run_time: ran, agent, ..Self::empty(Outcome::Failed, reason) }
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
