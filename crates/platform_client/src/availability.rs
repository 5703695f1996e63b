use base::Event;

use crate::Result;

/// Logs when calls to the platform begin to fail and when they succeed again,
/// once each.
#[derive(Debug)]
pub struct Availability {
    target: &'static str,
    up: bool,
}

impl Availability {
    /// `target` names in the log what the calls read; it counts as reachable at first.
    pub fn new(target: &'static str) -> Self {
        Self { target, up: true }
    }

    /// Records the result of the latest call.
    pub fn record<T>(&mut self, result: &Result<T>) {
        match (result, self.up) {
            (Ok(_), false) => Event::PlatformReachable.log(format_args!("{} read", self.target)),
            (Err(e), true) => Event::PlatformUnreachable.log(format_args!("{}: {e}", self.target)),
            _ => {}
        }
        self.up = result.is_ok();
    }
}
