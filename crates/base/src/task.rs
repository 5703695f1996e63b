use std::time::{Duration, Instant};

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

use crate::{Name, TaskId};

/// Digest of operation and body; tells a resubmission from a key used for another task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest(pub u128);

impl Digest {
    /// Stands for any digest in a query that names only the key.
    pub const UNKNOWN: Digest = Digest(0);

    pub fn new(operation: &str, body: &[u8]) -> Self {
        let mut h = Xxh3::new();
        h.update(operation.as_bytes());
        h.update(&[0]);
        h.update(body);
        Self(h.digest128())
    }

    /// Combines the digests of a submission's tasks, in order.
    pub fn of_submission(tasks: impl Iterator<Item = Digest>) -> Self {
        let mut h = Xxh3::new();
        for task in tasks {
            h.update(&task.0.to_le_bytes());
        }
        Self(h.digest128())
    }

    pub fn high(self) -> u64 {
        (self.0 >> 64) as u64
    }

    pub fn low(self) -> u64 {
        self.0 as u64
    }

    pub fn from_parts(high: u64, low: u64) -> Self {
        Self((u128::from(high) << 64) | u128::from(low))
    }
}

/// Unit of work for one slot of a backend server.
#[derive(Clone, Debug)]
pub struct Task {
    pub id: TaskId,
    pub service: Name,
    /// the caller's name for this kind of work
    pub operation: Name,
    /// when the caller issued the key, Unix time
    pub issued_ms: Option<u64>,
    pub deadline: Instant,
    /// whether the caller gave a key, so that a start needs a claim
    pub keyed: bool,
    pub repeatable: bool,
    /// run time that the caller declared; a hint only
    pub declared_time: Option<Duration>,
    /// digest of the whole submission
    pub digest: Digest,
    /// when the entry received the call, Unix time
    pub received_ms: u64,
    /// tasks in the submission
    pub task_count: u32,
    pub body: Bytes,
}

impl Task {
    /// Time until the deadline, zero once it has passed.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
