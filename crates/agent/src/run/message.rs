use actix::Message;
use base::{Answer, Task};
use serde::Deserialize;
use wire::{Load, Reply};

/// A task offered by an entry.
#[derive(Message)]
#[rtype(result = "Response")]
pub struct Offer(pub Task);

/// The agent's word on an offer, and how busy it is now.
#[derive(Debug)]
pub struct Response {
    pub reply: Reply,
    pub load: Load,
}

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
}

/// Asks how busy the agent is.
#[derive(Message)]
#[rtype(result = "Load")]
pub struct Inspect;

/// A task has ended on the backend server.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Ended {
    pub slot: usize,
    pub answer: Answer,
}
