use xxhash_rust::xxh3::xxh3_64;

/// One of so many agents runs tasks again that may have crashed their backend server.
const RETRY_DIVISOR: usize = 8;

/// Selects the agents that run tasks again which may have crashed their backend server.
/// It depends only on the names, so that all entries choose the same few agents, and
/// retries can't take more of them down.
pub fn retry_set<T>(mut agents: Vec<T>, name: impl Fn(&T) -> &str) -> Vec<T> {
    let size = (agents.len() / RETRY_DIVISOR).max(1);
    agents.sort_by_cached_key(|agent| xxh3_64(name(agent).as_bytes()));
    agents.truncate(size);
    agents
}
