use std::time::Instant;

use actix::Message;
use base::{Answer, Member, Task, TaskId};
use claim::{Claim, Grant, Holder, Record, Stage};
use roster::Roster;
use serde::Deserialize;
use wire::{Load, Reply};

/// Offer of a task by an entry.
#[derive(Message)]
#[rtype(result = "Response")]
pub struct Offer(pub Task);

/// An entry waits for the answer to a task that this agent holds the claim of.
#[derive(Message)]
#[rtype(result = "Response")]
pub struct Attach {
    pub id: TaskId,
    /// when the entry gives up
    pub deadline: Instant,
    /// incarnation of this agent that holds the claim
    pub incarnation: u64,
}

/// Reply to an offer, with the agent's current load.
#[derive(Debug)]
pub struct Response {
    pub reply: Reply,
    pub load: Load,
}

/// Query for the stage of a task at this agent.
#[derive(Message)]
#[rtype(result = "Option<Stage>")]
pub struct GetStage(pub TaskId);

/// Cancels tasks that have not started; the result says which were cancelled.
#[derive(Message)]
#[rtype(result = "Vec<bool>")]
pub struct Cancel(pub Vec<TaskId>);

/// Request of a new home for the records of the keys that `roster` moves to it.
#[derive(Message)]
#[rtype(result = "Vec<Record>")]
pub struct HandOver {
    pub roster: Roster,
    pub home: Member,
}

/// The agent continues under a new incarnation.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BeginIncarnation(pub Holder);

/// A backend server announces itself, or renews its announcement.
#[derive(Clone, Debug, Deserialize, Message)]
#[serde(deny_unknown_fields)]
#[rtype(result = "()")]
pub struct Announce {
    /// URL that tasks are posted to
    pub url: String,
    /// new at each start of the backend server
    pub incarnation: u64,
}

/// A backend server withdraws its announcement.
#[derive(Clone, Debug, Deserialize, Message)]
#[serde(deny_unknown_fields)]
#[rtype(result = "()")]
pub struct Leave {
    pub incarnation: u64,
}

/// Whether the agent drains: finishes its tasks and takes no new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Message)]
#[rtype(result = "()")]
pub enum Drain {
    On,
    Off,
    /// the process stops; can't be undone
    Stop,
}

/// Limits of the fleet configuration for the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Message)]
#[rtype(result = "()")]
pub struct Limits {
    pub slots: u32,
    pub connections: u32,
}

/// Query for the agent's load.
#[derive(Message)]
#[rtype(result = "Load")]
pub struct GetLoad;

/// Query for the number and memory of claims and records.
#[derive(Message)]
#[rtype(result = "MemoryUse")]
pub struct GetMemoryUse;

/// Number and memory of the agent's claims, as home, and records, as executor.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryUse {
    pub claims: usize,
    pub claim_bytes: usize,
    pub records: usize,
    pub record_bytes: usize,
}

/// Answer of the home to a claim request; `None` if it didn't answer in time.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct ClaimAnswer {
    pub claim: Claim,
    pub grant: Option<Grant>,
}

/// The home has confirmed the release of a claim.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct ReleaseDone(pub Claim);

/// A run on the backend server has ended.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct RunEnded {
    pub slot: usize,
    pub answer: Answer,
}
