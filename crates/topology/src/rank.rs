use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
};

use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Place of an agent among those of an entry, and of the entry among those of
/// the agent; the lowest go first.
pub type Rank = u64;

pub fn rank(agent: &str, entry: SocketAddr) -> Rank {
    xxh3_64_with_seed(agent.as_bytes(), xxh3_64(entry.to_string().as_bytes()))
}

/// Tells whether two lists of entries are the same, to the process that made
/// it; never 0, which stands for no list.
pub fn digest(entries: &[SocketAddr]) -> u64 {
    let mut hasher = Xxh3::new();
    entries.hash(&mut hasher);
    hasher.finish().max(1)
}
