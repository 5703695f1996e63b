use std::time::Instant;

use base::Member;

use crate::{Heartbeat, Roster};

/// The time on both clocks of this process.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    pub at: Instant,
    /// unix milliseconds
    pub wall_ms: u64,
}

/// I/O that the membership state machine requests from its program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// send a heartbeat; its reply goes to `on_heartbeat_reply`
    SendHeartbeat { to: Member, heartbeat: Box<Heartbeat> },
    /// read the row; the outcome goes to `on_row_read` or `on_row_failed`
    ReadRow,
    /// write the row; the outcome goes to `on_row_read` or `on_row_failed`
    WriteRow { expected: u64, roster: Box<Roster> },
    /// request the records whose home this member becomes in `roster`; once
    /// all of them are adopted, call `on_collected`
    CollectRecords { from: Member, roster: Box<Roster> },
    /// the same for this process's own records
    CollectOwnRecords { roster: Box<Roster> },
    /// drop the claims of keys that moved away in a settled roster
    DropMovedClaims,
    /// drop all claims of the last incarnation: the roster changed without
    /// this member's promise, so a new incarnation begins
    Reset,
}
