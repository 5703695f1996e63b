use base::{Name, Uptime};

/// One life of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// What an agent knows of an entry that it works for.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub name: Name,
    /// latest time at which the entry is known to have lived
    pub heard: Uptime,
}
