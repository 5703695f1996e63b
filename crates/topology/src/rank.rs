use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
};

use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Rank of an agent at an entry, and of the entry at the agent; the lowest come
/// first.
pub type Rank = u64;

pub fn rank(agent: &str, entry: SocketAddr) -> Rank {
    xxh3_64_with_seed(agent.as_bytes(), xxh3_64(entry.to_string().as_bytes()))
}

/// Digest of a list of entries, only comparable within one process; never 0,
/// which stands for no list.
pub fn digest(entries: &[SocketAddr]) -> u64 {
    let mut hasher = Xxh3::new();
    entries.hash(&mut hasher);
    hasher.finish().max(1)
}
