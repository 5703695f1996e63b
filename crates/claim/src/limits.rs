use std::time::Duration;

/// Limits of the claims at a home and of the records at an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// a claim is kept this long from its grant, a record from its end
    pub retention: Duration,
    /// longest time from the receipt of a call to its last claim
    pub max_call_time: Duration,
    /// largest difference between the wall clocks of two VMs
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

/// The time on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// monotonic time since the process started
    pub uptime: Duration,
    /// unix milliseconds, comparable between VMs up to the clock skew
    pub wall_ms: u64,
}
