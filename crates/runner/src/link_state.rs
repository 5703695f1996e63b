use std::cell::Cell;

use tokio::sync::Notify;

/// State of a link to an entry, shared by both directions of calls over it.
#[derive(Debug, Default)]
pub struct LinkState {
    phase: Cell<Phase>,
    /// life of the backend server in the last heartbeat that the entry has answered
    known_life: Cell<u64>,
    changed: Notify,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// the entry has not answered a heartbeat yet
    #[default]
    Opening,
    /// the entry has answered, and its answer was applied
    Joined,
    /// replaced by another link
    Closed,
}

impl LinkState {
    pub fn is_joined(&self) -> bool {
        self.phase.get() == Phase::Joined
    }

    /// Life of the backend server that the entry knows, by its start time; 0 for none.
    pub fn known_life(&self) -> u64 {
        self.known_life.get()
    }

    pub fn set_known_life(&self, life: u64) {
        self.known_life.set(life);
    }

    pub fn is_closed(&self) -> bool {
        self.phase.get() == Phase::Closed
    }

    pub fn set_joined(&self) {
        self.set(Phase::Joined);
    }

    pub fn close(&self) {
        self.set(Phase::Closed);
    }

    /// Waits until the entry's first answer was applied, or the link is closed.
    pub async fn wait_joined(&self) {
        loop {
            let changed = self.changed.notified();
            if self.phase.get() != Phase::Opening {
                return;
            }
            changed.await;
        }
    }

    fn set(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.changed.notify_waiters();
        }
    }
}
