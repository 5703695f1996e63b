use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::Duration,
};

use base::uptime;
use tokio::time::sleep;

/// How an entry stands, shared by its threads.
#[derive(Debug, Default)]
pub struct Status {
    ready: AtomicBool,
    stopping: AtomicBool,
    calls: AtomicUsize,
}

/// The balancer asks once a second and leaves an entry out after two misses.
const UNREADY: Duration = Duration::from_millis(2500);
/// Kept of the time to stop for the last answers.
const LAST_ANSWERS: Duration = Duration::from_millis(700);
const POLL: Duration = Duration::from_millis(20);

impl Status {
    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_stopping()
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// True from the start of a graceful shutdown.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Counts a call for as long as it is kept.
    pub fn call(&self) -> InCall<'_> {
        self.calls.fetch_add(1, Ordering::AcqRel);
        InCall(self)
    }

    /// Takes part in a graceful shutdown: callers are served until the
    /// balancer sends no more, and every call has its answer, or the time is up.
    pub async fn finish(&self, grace: Duration) {
        self.stopping.store(true, Ordering::Release);
        let start = uptime();
        let end = start + grace.saturating_sub(LAST_ANSWERS);
        let settled = start + UNREADY;
        while uptime() < end {
            let idle = self.calls.load(Ordering::Acquire) == 0;
            if idle && uptime() >= settled {
                return;
            }
            sleep(POLL).await;
        }
    }
}

/// A call in progress.
pub struct InCall<'a>(&'a Status);

impl Drop for InCall<'_> {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::AcqRel);
    }
}
