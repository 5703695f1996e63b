use base::{Name, Uptime};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bits dropped from the hash: JSON readers of the log keep 53 bits of a number.
const DROPPED_BITS: u32 = 11;

/// Identifies one incarnation of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

impl SessionId {
    /// Hashes the name as well: entries that start together may have the same
    /// incarnation, and their batches the same numbers.
    pub fn of(name: &str, incarnation: u64) -> Self {
        Self(xxh3_64_with_seed(name.as_bytes(), incarnation) >> DROPPED_BITS)
    }
}

/// Session of an entry with this agent.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub name: Name,
    /// data centre of the entry; empty while it is not known
    pub centre: Name,
    /// latest time at which the entry is known to have been alive
    pub last_seen: Uptime,
}
