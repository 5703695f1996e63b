use std::time::{Duration, Instant};

use base::Name;
use slotmap::new_key_type;

use crate::Class;

new_key_type! {
    /// A place in the queue.
    pub struct Ticket;
    /// A slot that is taken.
    pub struct RunKey;
}

/// What the queue needs to know of a task.
#[derive(Clone, Debug)]
pub struct TaskInfo {
    pub operation: Name,
    pub deadline: Instant,
}

/// A task that was not queued.
#[derive(Debug)]
pub struct Refused<T> {
    pub item: T,
    /// when there will be room again
    pub retry_after: Duration,
}

/// What to do now.
#[derive(Debug)]
pub enum PopResult<T> {
    Start(Start<T>),
    /// can't end by its deadline any more
    Late(T),
    /// nothing can start now
    Idle,
}

/// A task to start now; its slot is taken until `end`.
#[derive(Debug)]
pub struct Start<T> {
    pub item: T,
    pub run: RunKey,
}

/// Room for one class of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassLoad {
    /// slots it could take now
    pub free_slots: u32,
    /// expected wait of one more task
    pub wait: Duration,
    /// mean run time observed
    pub mean_run: Duration,
}

/// The order in which queued tasks take the slots.
pub trait Discipline<T> {
    /// Queues a task.
    ///
    /// # Errors
    /// Gives the task back when it could not end by its deadline, or when
    /// there is no room for it.
    fn push(&mut self, ask: TaskInfo, item: T, now: Instant) -> Result<Ticket, Refused<T>>;

    /// Takes the next task to start, or the next that has become too late.
    fn pop(&mut self, now: Instant) -> PopResult<T>;

    /// Takes a task out that has not started.
    fn remove(&mut self, ticket: Ticket) -> Option<T>;

    /// Changes how many tasks may run at once; what runs goes on.
    fn resize(&mut self, slots: usize);

    /// Frees a slot; `ran` is the run time to learn from, if there is one.
    fn end(&mut self, run: RunKey, ran: Option<Duration>);

    /// Takes every queued task out.
    fn clear(&mut self) -> Vec<T>;

    /// When the next queued task becomes too late.
    fn next_expiry(&self) -> Option<Instant>;

    /// Expected wait of one more task of a class, and what it rests on.
    fn class_load(&self, class: Class, now: Instant) -> ClassLoad;

    fn queued(&self) -> usize;

    fn running(&self) -> usize;
}
