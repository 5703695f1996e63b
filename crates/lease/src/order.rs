use std::{fmt, sync::Arc};

use base::Name;
use slotmap::new_key_type;

use crate::batch::BatchKey;

new_key_type! {
    /// Key of a run in the scheduler.
    pub struct RunKey;
}

/// Identity of a task at a backend server.
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
    /// number of the run; rises with each start of the task
    pub run: u32,
    pub spec: Arc<str>,
}

/// Order to stop a run, or to void a start order that may still be in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StopOrder {
    pub task: TaskRef,
    pub run: u32,
}

/// Actions that the scheduler requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Start(StartOrder),
    Stop(StopOrder),
    /// request a listing at once
    RefreshListing,
    /// raise the fencing token, so that a restarted backend server rejects
    /// earlier orders
    RaiseFence,
    /// reply to the calls about a batch
    Reply(BatchKey),
}

/// Why a backend server did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// too little free capacity
    Room,
    /// a run of this task with the same or a higher number was started before
    Old,
    /// the order arrived after the end of its lease
    Late,
    /// another incarnation of the agent has given orders since
    Fenced,
    /// another life of the backend server answers now
    OtherLife,
    /// unavailable; the order was not carried out
    Busy,
    /// the order can't be carried out at all
    Invalid,
}

/// Outcome of an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    Accepted,
    Rejected(RefusalReason),
    /// no answer: the order may have been carried out, or may be later
    Indeterminate,
}

/// Whether a call with a lease has reached the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// it has, or may yet
    Possible,
    /// no connection was made
    Failed,
}
