use base::{Digest, Name, TaskId};

/// What an executor asks of the home before it may start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub id: TaskId,
    pub digest: Digest,
    /// when the caller issued the key, unix milliseconds
    pub issued_ms: Option<u64>,
    /// when the entry took the call, unix milliseconds
    pub received_ms: u64,
    /// tasks of the submission
    pub task_count: u32,
    /// the executor's number of this claim; a later claim has a higher one
    pub sequence: u64,
}

/// One life of an executor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    pub name: Name,
    pub incarnation: u64,
}

/// The home's word on a claim, a look or a bar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// may start it
    Granted,
    /// another executor may
    Held(Holder),
    /// nobody holds it; only ever the answer to a look
    Free,
    /// nobody holds it, and no call begun so far will
    Barred,
    /// the key was used with another body
    Conflict,
    /// ask elsewhere
    NotHome {
        /// roster in force there
        epoch: u64,
    },
    /// whether it ran before can't be told
    Unknown(Name),
    /// no room for another claim
    Full,
}

/// What a new home is told of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub claim: Claim,
    pub state: ClaimState,
}

/// What has become of a key at its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// an executor may start it
    Held(Holder),
    /// calls begun before this unix time, in milliseconds, may not start it
    Barred(u64),
}

/// How an executor gives up a claim before the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// the task may be placed elsewhere
    Free,
    /// a caller was told that it did not run
    Bar,
}
