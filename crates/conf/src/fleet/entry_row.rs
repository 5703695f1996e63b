use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Row that an entry writes about itself into the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// HTTP address for callers and operators
    pub http: SocketAddr,
    /// RPC address for agents
    pub rpc: SocketAddr,
    /// when the row was last written, unix milliseconds
    pub seen_ms: u64,
    /// recent processes of the entry, the newest last
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
    /// Prefix of the keys of these rows; the entry's name follows.
    pub const PREFIX: &str = "entry/";
    pub const REFRESH_INTERVAL_MS: u64 = 30_000;
    /// An entry that hasn't written its row for this long counts as gone.
    const EXPIRY_MS: u64 = 4 * Self::REFRESH_INTERVAL_MS;
    /// Processes started this long before the newest are dropped.
    const PROCESS_RETENTION_MS: u64 = 24 * 3_600_000;
    const MAX_PROCESSES: usize = 50;

    pub fn key(name: &str) -> String {
        format!("{}{name}", Self::PREFIX)
    }

    /// Whether the row was written recently enough for the entry to be alive. A time far
    /// ahead would keep it for ever.
    pub fn is_live(&self, now_ms: u64) -> bool {
        now_ms.abs_diff(self.seen_ms) <= Self::EXPIRY_MS
    }

    /// Adds the newest process and drops those beyond the bounds on age and number.
    pub fn add_process(&mut self, process: EntryProcess) {
        let oldest_ms = process.started_ms.saturating_sub(Self::PROCESS_RETENTION_MS);
        self.processes
            .retain(|p| p.started_ms >= oldest_ms && p.incarnation != process.incarnation);
        self.processes.push(process);
        let surplus = self.processes.len().saturating_sub(Self::MAX_PROCESSES);
        self.processes.drain(..surplus);
    }
}
