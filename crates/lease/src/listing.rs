use base::Uptime;

use crate::TaskRef;

/// What a backend server says it runs and has ended.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// when it was asked for, on our clock
    pub requested_at: Uptime,
    /// start of this life of the backend server, unix milliseconds
    pub started_ms: u64,
    pub running: Vec<RunProgress>,
    pub ended: Vec<RunEnd>,
}

/// A run that goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunProgress {
    pub task: TaskRef,
    pub run: u32,
    /// share of its work that is done
    pub percent: u32,
}

/// A run that is over; listed until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// rises in one life of the backend server
    pub sequence: u64,
    pub task: TaskRef,
    pub run: u32,
    pub cause: EndCause,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    Done,
    Failed,
    /// by an order
    Stopped,
    /// its lease ran out
    Expired,
    /// for the sake of other runs
    Preempted,
}
