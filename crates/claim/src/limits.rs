use std::time::Duration;

/// How long claims and records are kept, and how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// a claim is kept this long from its grant, a record from its end
    pub retention: Duration,
    /// longest time from the start of a call to its last claim
    pub call: Duration,
    /// how far apart the clocks of two VMs may be
    pub skew: Duration,
    /// most claims or records
    pub entries: usize,
    /// most memory of claims or records, bytes
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(900),
            call: Duration::from_secs(660),
            skew: Duration::from_secs(1),
            entries: 200_000,
            bytes: 48 << 20,
        }
    }
}

/// A moment on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// time since the process started; never jumps
    pub tick: Duration,
    /// unix milliseconds, comparable between VMs within the skew
    pub wall: u64,
}
