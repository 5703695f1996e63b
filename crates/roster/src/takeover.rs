use std::time::Instant;

use base::Member;

/// What a new home still needs before it holds the records of its keys.
#[derive(Debug)]
pub struct Takeover {
    /// members whose records are missing, and when they were last asked
    pub missing: Vec<Missing>,
    /// since when every majority of the old roster is broken
    pub broken: Option<Instant>,
    /// whether every member of the old roster has promised
    pub whole: bool,
}

/// A member that has not handed over yet.
#[derive(Debug)]
pub struct Missing {
    pub member: Member,
    pub asked: Option<Instant>,
}

impl Takeover {
    pub fn new<'a>(sources: impl Iterator<Item = &'a Member>) -> Self {
        let missing = sources.cloned().map(|member| Missing { member, asked: None }).collect();
        Self { missing, broken: None, whole: false }
    }

    pub fn on_collected(&mut self, from: &Member) {
        self.missing.retain(|m| !m.member.same_incarnation(from));
    }
}
