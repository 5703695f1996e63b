use std::{fmt, sync::Arc};

use base::Name;
use slotmap::new_key_type;

use crate::batch::BatchKey;

new_key_type! {
    /// One run of a task in the book.
    pub struct RunKey;
}

/// A task as a backend server knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskRef {
    pub job: Name,
    pub index: u32,
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    pub key: RunKey,
    pub task: TaskRef,
    /// number of this run; rises with each start of the task
    pub run: u32,
    pub spec: Arc<str>,
}

/// Order to stop a run, or to void one that may still be on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    pub task: TaskRef,
    pub run: u32,
}

/// What the book wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Start(StartOrder),
    Stop(StopOrder),
    /// a fresh listing is needed at once
    RefreshListing,
    /// orders of before must be void for the backend server's new life
    RaiseFence,
    /// a reply about a batch is due
    Reply(BatchKey),
}

/// Why a backend server did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// it has no room
    Room,
    /// a run of this task with this or a higher number was there
    Old,
    /// the order came after the end of its lease
    Late,
    /// another life of the agent has given orders since
    Fenced,
    /// unhealthy; it has done nothing
    Busy,
    /// the order can't be carried out at all
    Invalid,
}

/// Answer to an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    Accepted,
    Rejected(RefusalReason),
    /// no answer: it may be carried out, also later
    Indeterminate,
}
