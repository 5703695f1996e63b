use std::time::Instant;

use base::Member;

/// State of a new home until it holds the records of its keys.
#[derive(Debug)]
pub struct Takeover {
    /// members that have not handed over yet
    pub pending: Vec<PendingHandover>,
    /// since when no majority of the old roster can acknowledge its epoch
    pub majority_broken_at: Option<Instant>,
    /// whether every member of the old roster has promised the new epoch
    pub all_promised: bool,
}

/// A member that has not handed over yet.
#[derive(Debug)]
pub struct PendingHandover {
    pub member: Member,
    pub requested_at: Option<Instant>,
}

impl Takeover {
    pub fn new<'a>(sources: impl Iterator<Item = &'a Member>) -> Self {
        let pending =
            sources.cloned().map(|member| PendingHandover { member, requested_at: None }).collect();
        Self { pending, majority_broken_at: None, all_promised: false }
    }

    pub fn on_collected(&mut self, from: &Member) {
        self.pending.retain(|m| !m.member.same_incarnation(from));
    }
}
