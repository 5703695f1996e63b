use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Shared immutable name of a team, a service, an agent or a key.
pub type Name = Arc<str>;

/// Longest key that a caller may use.
pub const MAX_KEY_BYTES: usize = 128;

/// Identity of one task, the same for every submission of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    pub team: Name,
    /// idempotency key, scoped to the team
    pub key: Name,
    /// position in its job, 0 for a single request
    pub index: u32,
}

impl TaskId {
    pub fn new(team: Name, key: Name, index: u32) -> Self {
        Self { team, key, index }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.team, self.key, self.index)
    }
}
