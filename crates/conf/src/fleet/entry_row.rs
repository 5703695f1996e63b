use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What an entry writes of itself into the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// where callers and operators come in
    pub http: SocketAddr,
    /// where agents come in
    pub rpc: SocketAddr,
    /// when it last wrote the row, unix milliseconds
    pub seen_ms: u64,
    /// its processes so far, the newest last
    #[serde(rename = "lives")]
    pub processes: Vec<EntryProcess>,
}

/// One process of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryProcess {
    pub incarnation: u64,
    /// unix milliseconds
    pub started_ms: u64,
}

impl EntryRow {
    /// Start of the keys of these rows; the entry's name follows.
    pub const PREFIX: &str = "entry/";
    /// How often an entry writes its row.
    pub const REFRESH_INTERVAL_MS: u64 = 30_000;
    /// A row not written for this long is of an entry that is gone.
    const AGE_MS: u64 = 4 * Self::REFRESH_INTERVAL_MS;
    /// Processes older than this are forgotten.
    const LIFE_MS: u64 = 24 * 3_600_000;
    const MAX_LIVES: usize = 50;

    pub fn key(name: &str) -> String {
        format!("{}{name}", Self::PREFIX)
    }

    /// Whether the entry may still be there.
    pub fn is_live(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.seen_ms) <= Self::AGE_MS
    }

    /// Notes a process as the newest, and forgets those long past.
    pub fn add_process(&mut self, life: EntryProcess) {
        let recent = life.started_ms.saturating_sub(Self::LIFE_MS);
        self.processes.retain(|l| l.started_ms >= recent && l.incarnation != life.incarnation);
        self.processes.push(life);
        let surplus = self.processes.len().saturating_sub(Self::MAX_LIVES);
        self.processes.drain(..surplus);
    }
}
