//! Contact with groups of peers, which tells when messages may have been under way for
//! long: after a silence of a whole group this process was suspended, or its links were cut.
//!
//! TCP doubles its pause between retransmissions, so what was sent during a silence may
//! arrive as long after it as it lasted.

use std::{cell::Cell, time::Duration};

use base::Uptime;

/// Bound on the window after a silence: a pause in the traffic looks like an outage.
const MAX_LATENESS: Duration = Duration::from_secs(30);

/// Contact with a group of peers.
#[derive(Debug)]
pub struct Contact {
    /// longest silence of the group in normal operation
    max_silence: Duration,
    heard_at: Cell<Uptime>,
    late_until: Cell<Uptime>,
}

impl Contact {
    pub fn new(max_silence: Duration, now: Uptime) -> Self {
        Self { max_silence, heard_at: Cell::new(now), late_until: Cell::new(now) }
    }

    /// Records that a message from the group was read.
    pub fn record(&self, now: Uptime) {
        let silence = now.saturating_sub(self.heard_at.replace(now));
        if silence > self.max_silence {
            let until = now + silence.min(MAX_LATENESS) + self.max_silence;
            self.late_until.set(until.max(self.late_until.get()));
        }
    }

    /// Whether a message that is read now may have been sent long ago.
    pub fn may_be_late(&self, now: Uptime) -> bool {
        let silence = now.saturating_sub(self.heard_at.get());
        silence > self.max_silence || now < self.late_until.get()
    }
}
