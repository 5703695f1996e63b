use base::{Member, TaskId};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// The home of a task among these members, by rendezvous hashing of its
/// identity and their names. Incarnations are left out, so that a restarted
/// member keeps its keys.
pub fn home<'a>(members: &'a [Member], id: &TaskId) -> Option<&'a Member> {
    let seed = hash(id);
    members.iter().max_by_key(|m| (xxh3_64_with_seed(m.name.as_bytes(), seed), &m.name))
}

fn hash(id: &TaskId) -> u64 {
    let mut h = Xxh3::new();
    h.update(id.team.as_bytes());
    h.update(&[0]);
    h.update(id.key.as_bytes());
    h.update(&[0]);
    h.update(&id.index.to_le_bytes());
    h.digest()
}
