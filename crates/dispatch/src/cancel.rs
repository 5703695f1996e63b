use std::cell::Cell;

use tokio::sync::Notify;

/// Signals that a job is cancelled, and why.
#[derive(Default)]
pub struct CancelSignal {
    reason: Cell<Option<&'static str>>,
    notify: Notify,
}

impl CancelSignal {
    pub fn cancel(&self, reason: &'static str) {
        self.reason.set(Some(reason));
        self.notify.notify_waiters();
    }

    pub fn reason(&self) -> Option<&'static str> {
        self.reason.get()
    }

    /// Waits until the job is cancelled.
    pub async fn cancelled(&self) {
        let notified = self.notify.notified();
        if self.reason().is_none() {
            notified.await;
        }
    }
}
