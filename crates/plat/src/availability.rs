use base::Event;

use crate::Result;

/// Tells once when calls for something begin to fail, and once when they
/// succeed again.
#[derive(Debug)]
pub struct Availability {
    target: &'static str,
    up: bool,
}

impl Availability {
    /// `what` is asked for; it is taken to be within reach at first.
    pub fn new(what: &'static str) -> Self {
        Self { target: what, up: true }
    }

    /// Notes how the newest call went.
    pub fn record<T>(&mut self, result: &Result<T>) {
        match (result, self.up) {
            (Ok(_), false) => Event::PlatformReachable.log(format_args!("{} read", self.target)),
            (Err(e), true) => Event::PlatformUnreachable.log(format_args!("{}: {e}", self.target)),
            _ => {}
        }
        self.up = result.is_ok();
    }
}
