use std::time::{Duration, Instant};

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

use crate::{Name, TaskId};

/// Digest of what a task asks for; tells a resubmission from a key used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest(pub u128);

impl Digest {
    /// Of a key that is asked about without its submission.
    pub const UNKNOWN: Digest = Digest(0);

    pub fn new(operation: &str, body: &[u8]) -> Self {
        let mut h = Xxh3::new();
        h.update(operation.as_bytes());
        h.update(&[0]);
        h.update(body);
        Self(h.digest128())
    }

    /// Digest of a whole submission, from those of its tasks in order.
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

/// One piece of work for one slot of a backend server.
#[derive(Clone, Debug)]
pub struct Task {
    pub id: TaskId,
    pub service: Name,
    /// what the caller calls this kind of work
    pub operation: Name,
    /// when the caller issued the key, unix milliseconds
    pub issued_ms: Option<u64>,
    pub deadline: Instant,
    /// the caller gave a key, so the start needs a claim
    pub keyed: bool,
    pub repeatable: bool,
    /// declared run time, never trusted
    pub declared_time: Option<Duration>,
    /// of the whole submission
    pub digest: Digest,
    /// when the entry took the call, unix milliseconds
    pub received_ms: u64,
    /// tasks of the submission
    pub task_count: u32,
    pub body: Bytes,
}

impl Task {
    /// Time left to the deadline, zero when it has passed.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
