use base::Name;

use crate::Roster;

/// Heartbeat between two members; its reply is one too. It acknowledges the
/// last one heard from its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    pub from: Name,
    pub incarnation: u64,
    /// incarnation of the receiver that is meant
    pub to_incarnation: u64,
    /// roster that the sender promised
    pub promised_epoch: u64,
    /// write of the row that the sender knows
    pub revision: u64,
    /// newest epoch whose records the sender holds
    pub ready_epoch: u64,
    /// when it was sent, on the sender's own clock
    pub timestamp: u64,
    /// newest stamp that the sender heard from the receiver
    pub echo: u64,
    /// the roster, for a receiver that is behind
    pub roster: Option<Roster>,
}
