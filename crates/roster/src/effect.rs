use std::time::Instant;

use base::Member;

use crate::{Heartbeat, Roster};

/// A moment on both clocks of this process.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    pub at: Instant,
    /// unix milliseconds
    pub wall_ms: u64,
}

/// What a member asks of the program around it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// send a heartbeat; its reply goes to `answered`
    SendHeartbeat { to: Member, heartbeat: Box<Heartbeat> },
    /// read the row; the outcome goes to `read` or `failed`
    ReadRow,
    /// write the row; the outcome goes to `read` or `failed`
    WriteRow { expected: u64, roster: Box<Roster> },
    /// ask for the records whose home this member becomes in `roster`; once
    /// all of them are adopted, call `collected`
    CollectRecords { from: Member, roster: Box<Roster> },
    /// the same with this process's own records
    CollectOwnRecords { roster: Box<Roster> },
    /// a roster is settled: claims of keys that moved away may go
    DropMovedClaims,
    /// the roster went on without this member: a new incarnation begins, and
    /// the claims of the last one are dropped
    Reset,
}
