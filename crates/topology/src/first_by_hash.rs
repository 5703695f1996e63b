use xxhash_rust::xxh3::xxh3_64;

/// Selects one of `divisor` agents, and at least one. It depends only on the names, so
/// that all entries choose the same few agents for tasks that may crash their backend
/// server, and can't take more of them down.
pub fn first_by_hash<T>(mut agents: Vec<T>, divisor: usize, name: impl Fn(&T) -> &str) -> Vec<T> {
    let size = (agents.len() / divisor).max(1);
    agents.sort_by_cached_key(|agent| xxh3_64(name(agent).as_bytes()));
    agents.truncate(size);
    agents
}
