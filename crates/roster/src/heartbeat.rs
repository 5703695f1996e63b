use base::Name;

use crate::Roster;

/// Heartbeat between two members, also used as its reply. It acknowledges the
/// last heartbeat received from the peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    pub from: Name,
    pub incarnation: u64,
    /// incarnation of the receiver it is meant for
    pub to_incarnation: u64,
    /// newest epoch that the sender has promised
    pub promised_epoch: u64,
    /// revision of the row that the sender knows
    pub revision: u64,
    /// epoch whose records the sender holds, 0 if they are incomplete
    pub ready_epoch: u64,
    /// send time on the sender's own clock, microseconds
    pub timestamp: u64,
    /// newest timestamp that the sender received from the receiver
    pub echo: u64,
    /// the roster, for a receiver that is behind
    pub roster: Option<Roster>,
}
