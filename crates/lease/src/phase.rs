use std::time::Duration;

/// Phase in the life of a backend server, as it announces it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Phase {
    /// takes no new work
    pub draining: bool,
    /// least time until it exits, while it drains
    pub remaining: Option<Duration>,
    /// how much longer it is slow after its start
    pub cold_remaining: Duration,
}

impl From<bool> for Phase {
    fn from(draining: bool) -> Self {
        Self { draining, ..Self::default() }
    }
}
