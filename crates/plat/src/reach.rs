use base::Event;

use crate::Result;

/// Tells once when calls for something begin to fail, and once when they
/// succeed again.
#[derive(Debug)]
pub struct Reach {
    what: &'static str,
    up: bool,
}

impl Reach {
    /// `what` is asked for; it is taken to be within reach at first.
    pub fn new(what: &'static str) -> Self {
        Self { what, up: true }
    }

    /// Notes how the newest call went.
    pub fn note<T>(&mut self, result: &Result<T>) {
        match (result, self.up) {
            (Ok(_), false) => Event::PlatformBack.log(format_args!("{} read", self.what)),
            (Err(e), true) => Event::PlatformDown.log(format_args!("{}: {e}", self.what)),
            _ => {}
        }
        self.up = result.is_ok();
    }
}
