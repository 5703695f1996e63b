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

/// Status of an entry, shared by its threads.
#[derive(Debug, Default)]
pub struct Status {
    ready: AtomicBool,
    /// deadline for all answers, once this entry stops
    deadline: Mutex<Option<Uptime>>,
    calls: AtomicUsize,
    /// requests of operators for a report
    report_requests: Mutex<Vec<oneshot::Sender<Report>>>,
}

/// The balancer checks an entry once a second and removes it after two failures.
const BALANCER_DELAY: Duration = Duration::from_millis(2500);
/// Reserved of the grace period for answers to abandoned jobs.
const ANSWER_TIME: Duration = Duration::from_millis(900);
/// Reserved of the grace period for the exit of the process.
const EXIT_TIME: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Status {
    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_stopping()
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.deadline().is_some()
    }

    /// Deadline for all answers; `None` until this entry stops.
    pub fn deadline(&self) -> Option<Uptime> {
        *self.deadline.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests a report from the thread that serves callers; no report comes
    /// before that thread has started.
    pub fn request_report(&self) -> oneshot::Receiver<Report> {
        let (sender, receiver) = oneshot::channel();
        self.report_requests.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
        receiver
    }

    /// Takes the pending requests for a report.
    pub fn take_report_requests(&self) -> Vec<oneshot::Sender<Report>> {
        std::mem::take(&mut self.report_requests.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a call until the guard is dropped.
    pub fn track_call(&self) -> InCall<'_> {
        self.calls.fetch_add(1, Ordering::AcqRel);
        InCall(self)
    }

    /// Shuts down gracefully: callers are served until the balancer sends no
    /// more and every call has its answer. Jobs in progress shortly before the
    /// end of the grace period are abandoned, so that each call gets an answer.
    pub async fn shut_down(&self, grace: Duration) {
        let start = uptime();
        let deadline = start + grace.saturating_sub(ANSWER_TIME);
        *self.deadline.lock().unwrap_or_else(PoisonError::into_inner) = Some(deadline);
        let earliest_exit = (start + BALANCER_DELAY).min(deadline);
        let latest_exit = start + grace.saturating_sub(EXIT_TIME);
        while uptime() < latest_exit {
            let is_idle = self.calls.load(Ordering::Acquire) == 0;
            if is_idle && uptime() >= earliest_exit {
                return;
            }
            sleep(POLL_INTERVAL).await;
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
