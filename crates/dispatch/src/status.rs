use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{Uptime, uptime};
use tokio::{sync::oneshot, time::sleep};

use crate::Report;

/// How an entry stands, shared by its threads.
#[derive(Debug, Default)]
pub struct Status {
    ready: AtomicBool,
    /// when calls must have their answers, once this entry stops
    end: Mutex<Option<Uptime>>,
    calls: AtomicUsize,
    /// operators who wait for a report
    asked: Mutex<Vec<oneshot::Sender<Report>>>,
}

/// The balancer asks once a second and leaves an entry out after two misses.
const UNREADY: Duration = Duration::from_millis(2500);
/// Kept of the time to stop for answers to what is given up.
const LAST_ANSWERS: Duration = Duration::from_millis(900);
/// Kept of the time to stop for the end of the process.
const EXIT: Duration = Duration::from_millis(300);
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
        self.end().is_some()
    }

    /// When calls must have their answers; `None` until this entry stops.
    pub fn end(&self) -> Option<Uptime> {
        *self.end.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the thread that serves callers how the entry stands; the answer
    /// never comes where none works yet.
    pub fn request_report(&self) -> oneshot::Receiver<Report> {
        let (answer, asked) = oneshot::channel();
        self.asked.lock().unwrap_or_else(PoisonError::into_inner).push(answer);
        asked
    }

    /// Operators who wait for a report.
    pub fn take_report_requests(&self) -> Vec<oneshot::Sender<Report>> {
        std::mem::take(&mut self.asked.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a call for as long as it is kept.
    pub fn track_call(&self) -> InCall<'_> {
        self.calls.fetch_add(1, Ordering::AcqRel);
        InCall(self)
    }

    /// Takes part in a graceful shutdown: callers are served until the
    /// balancer sends no more and every call has its answer. What is left
    /// shortly before the end of the grace period is given up, so that each
    /// call still gets an answer.
    pub async fn shut_down(&self, grace: Duration) {
        let start = uptime();
        let end = start + grace.saturating_sub(LAST_ANSWERS);
        *self.end.lock().unwrap_or_else(PoisonError::into_inner) = Some(end);
        let settled = (start + UNREADY).min(end);
        let last = start + grace.saturating_sub(EXIT);
        while uptime() < last {
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
