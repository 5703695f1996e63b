use base::Uptime;

use crate::TaskRef;

/// The runs in progress and the ended runs that a backend server reports.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// when it was requested, on our clock
    pub requested_at: Uptime,
    /// start of the backend server's incarnation, unix milliseconds
    pub started_ms: u64,
    pub running: Vec<RunProgress>,
    pub ended: Vec<RunEnd>,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunProgress {
    pub task: TaskRef,
    pub run: u32,
    /// share of the work done
    pub percent: u32,
}

/// The end of a run; listed until acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// rises within an incarnation of the backend server
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
    /// its lease expired
    Expired,
    /// to make room for other runs
    Preempted,
}
