use std::cell::Cell;

use tokio::sync::Notify;

/// Signals that a job is cancelled, and why.
#[derive(Default)]
pub struct CancelSignal {
    why: Cell<Option<&'static str>>,
    notify: Notify,
}

impl CancelSignal {
    pub fn cancel(&self, why: &'static str) {
        self.why.set(Some(why));
        self.notify.notify_waiters();
    }

    pub fn why(&self) -> Option<&'static str> {
        self.why.get()
    }

    /// Waits until the job is cancelled.
    pub async fn cancelled(&self) {
        let notified = self.notify.notified();
        if self.why().is_none() {
            notified.await;
        }
    }
}
