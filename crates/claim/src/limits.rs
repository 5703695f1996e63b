use std::time::Duration;

/// How long claims and records are kept, and how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// a claim is kept this long from its grant, a record from its end
    pub retention: Duration,
    /// longest time from the start of a call to its last claim
    pub max_call_time: Duration,
    /// how far apart the clocks of two VMs may be
    pub clock_skew: Duration,
    /// most claims or records
    pub max_entries: usize,
    /// most memory of claims or records, bytes
    pub max_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(900),
            max_call_time: Duration::from_secs(660),
            clock_skew: Duration::from_secs(1),
            max_entries: 200_000,
            max_bytes: 48 << 20,
        }
    }
}

/// A moment on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// time since the process started; never jumps
    pub uptime: Duration,
    /// unix milliseconds, comparable between VMs within the skew
    pub wall_ms: u64,
}
