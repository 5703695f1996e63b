use std::cell::Cell;

use tokio::sync::Notify;

/// Word that a job is to be given up, and why.
#[derive(Default)]
pub struct CancelSignal {
    why: Cell<Option<&'static str>>,
    told: Notify,
}

impl CancelSignal {
    pub fn cancel(&self, why: &'static str) {
        self.why.set(Some(why));
        self.told.notify_waiters();
    }

    pub fn why(&self) -> Option<&'static str> {
        self.why.get()
    }

    /// Waits until it is to be given up.
    pub async fn cancelled(&self) {
        let told = self.told.notified();
        if self.why().is_none() {
            told.await;
        }
    }
}
