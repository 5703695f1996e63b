use serde::{Deserialize, Serialize};

/// Faults to inject.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// refuse every call
    pub down: bool,
    /// delay every call, milliseconds
    pub slow_ms: u64,
    /// apply this many writes but lose their replies
    pub lose_replies: u32,
    /// answer this many reads with the version before the newest
    pub stale_reads: u32,
}
