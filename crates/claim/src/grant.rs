use base::{Digest, Name, TaskId};

/// Request of an executor to its home for the right to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub id: TaskId,
    pub digest: Digest,
    /// when the caller issued the key, unix milliseconds
    pub issued_ms: Option<u64>,
    /// when the entry received the call, unix milliseconds
    pub received_ms: u64,
    /// number of tasks in the submission
    pub task_count: u32,
    /// rises with every claim of the executor
    pub sequence: u64,
}

/// One incarnation of an executor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    pub name: Name,
    pub incarnation: u64,
}

/// The home's reply to a claim, a lookup or a bar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// the executor may start the task
    Granted,
    /// another executor holds the claim
    Held(Holder),
    /// nobody holds the claim; only in reply to a lookup
    Free,
    /// nobody holds the claim, and no call received so far can get it
    Barred,
    /// the key was used with another body
    Conflict,
    /// another agent is the home
    NotHome {
        /// epoch of the roster known here
        epoch: u64,
    },
    /// whether the task ran before is unknown
    Unknown(Name),
    /// the home has no capacity for another claim
    Full,
}

/// State of a key that is handed over to a new home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub claim: Claim,
    pub state: ClaimState,
}

/// State of a key at its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// an executor holds the claim
    Held(Holder),
    /// calls received before this unix time, in milliseconds, may not start it
    Barred(u64),
}

/// How an executor releases a claim before the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// the task may be placed elsewhere
    Free,
    /// a caller has the answer that the task did not run
    Bar,
}
