use base::Uptime;

use crate::TaskRef;

/// What a backend server says it runs and has ended.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// when it was asked for, on our clock
    pub asked: Uptime,
    /// start of this life of the backend server, unix milliseconds
    pub born: u64,
    pub running: Vec<Running>,
    pub ended: Vec<Ended>,
}

/// A run that goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    pub task: TaskRef,
    pub run: u32,
    /// share of its work that is done
    pub percent: u32,
}

/// A run that is over; listed until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// rises in one life of the backend server
    pub number: u64,
    pub task: TaskRef,
    pub run: u32,
    pub cause: StopCause,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    Done,
    Failed,
    /// by an order
    Stopped,
    /// its lease ran out
    Lapsed,
    /// for the sake of other runs
    Broken,
}
