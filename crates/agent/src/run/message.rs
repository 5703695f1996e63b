use std::time::Instant;

use actix::Message;
use base::{Answer, Member, Task, TaskId};
use claim::{Claim, Grant, Holder, Record, Stage};
use roster::Roster;
use serde::Deserialize;
use wire::{Load, Reply};

/// A task offered by an entry.
#[derive(Message)]
#[rtype(result = "Response")]
pub struct Offer(pub Task);

/// An entry waits for the answer of a task that was claimed here.
#[derive(Message)]
#[rtype(result = "Response")]
pub struct Attach {
    pub id: TaskId,
    /// when the entry gives up
    pub deadline: Instant,
    /// life of this agent that holds the claim
    pub incarnation: u64,
}

/// The agent's word on an offer, and how busy it is now.
#[derive(Debug)]
pub struct Response {
    pub reply: Reply,
    pub load: Load,
}

/// Asks what is known here of a task.
#[derive(Message)]
#[rtype(result = "Option<Stage>")]
pub struct GetStage(pub TaskId);

/// Stops tasks that have not started; tells which were stopped.
#[derive(Message)]
#[rtype(result = "Vec<bool>")]
pub struct Cancel(pub Vec<TaskId>);

/// A new home asks for what it must know of the keys that this roster moves
/// to it.
#[derive(Message)]
#[rtype(result = "Vec<Record>")]
pub struct HandOver {
    pub roster: Roster,
    pub home: Member,
}

/// The agent goes on under a new incarnation.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BeginIncarnation(pub Holder);

/// A backend server announces itself, or renews.
#[derive(Clone, Debug, Deserialize, Message)]
#[serde(deny_unknown_fields)]
#[rtype(result = "()")]
pub struct Announce {
    /// URL that takes tasks
    pub url: String,
    /// new at every start of the backend server
    pub incarnation: u64,
}

/// A backend server leaves.
#[derive(Clone, Debug, Deserialize, Message)]
#[serde(deny_unknown_fields)]
#[rtype(result = "()")]
pub struct Leave {
    pub incarnation: u64,
}

/// Whether the agent takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Message)]
#[rtype(result = "()")]
pub enum Drain {
    On,
    Off,
    /// the process stops; nothing takes that back
    Stop,
}

/// What the fleet configuration lets the backend server take at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Message)]
#[rtype(result = "()")]
pub struct Limits {
    pub slots: u32,
    pub connections: u32,
}

/// Asks how busy the agent is.
#[derive(Message)]
#[rtype(result = "Load")]
pub struct GetLoad;

/// Asks how much is remembered.
#[derive(Message)]
#[rtype(result = "MemoryUse")]
pub struct GetMemoryUse;

/// What the agent remembers, as home and as executor.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryUse {
    pub claims: usize,
    pub claim_bytes: usize,
    pub records: usize,
    pub record_bytes: usize,
}

/// The home's word on a claim; none came in time when it is `None`.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct ClaimAnswer {
    pub claim: Claim,
    pub grant: Option<Grant>,
}

/// The home has heard that a claim was given up.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct ReleaseDone(pub Claim);

/// A task has ended on the backend server.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct RunEnded {
    pub slot: usize,
    pub answer: Answer,
}
