use serde::{Deserialize, Serialize};

/// Most changes kept in the history of the document.
pub const MAX_HISTORY: usize = 100;

/// Who changed the fleet configuration, when and how.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// chosen by the writer; shows whether a write with a lost reply took effect
    pub id: String,
    /// version of the row after the change
    pub version: u64,
    pub author: String,
    /// unix milliseconds
    pub time_ms: u64,
    /// what changed
    pub summary: String,
}
