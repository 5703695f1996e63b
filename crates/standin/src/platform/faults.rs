use serde::{Deserialize, Serialize};

/// What goes wrong from now on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// refuse every call
    pub down: bool,
    /// delay every call, milliseconds
    pub slow_ms: u64,
    /// carry out this many writes and lose the reply
    pub lose_replies: u32,
    /// answer this many reads with the version before the newest
    pub stale_reads: u32,
}
