use serde::{Deserialize, Serialize};

/// Changes that the document remembers, the newest first.
pub const MAX_HISTORY: usize = 100;

/// Who changed the fleet configuration, when and how.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// made up by the writer; settles a write whose reply was lost
    pub id: String,
    /// version of the row that the change made
    pub version: u64,
    pub author: String,
    /// unix milliseconds
    pub time_ms: u64,
    /// what changed
    pub summary: String,
}
