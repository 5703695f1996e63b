use std::time::{Duration, Instant};

use base::Name;
use slotmap::new_key_type;

use crate::Class;

new_key_type! {
    /// Handle of a queued task.
    pub struct Ticket;
    /// Handle of a running task, which takes a slot.
    pub struct RunKey;
}

/// Properties of a task that the queue uses.
#[derive(Clone, Debug)]
pub struct TaskInfo {
    pub operation: Name,
    pub deadline: Instant,
}

/// A task that was refused.
#[derive(Debug)]
pub struct Refused<T> {
    pub item: T,
    /// expected time until there is capacity
    pub retry_after: Duration,
}

/// Result of `Discipline::pop`.
#[derive(Debug)]
pub enum PopResult<T> {
    Start(Start<T>),
    /// the task can no longer end by its deadline
    Late(T),
    /// nothing can start now
    Idle,
}

/// A task to start; it takes its slot until `end`.
#[derive(Debug)]
pub struct Start<T> {
    pub item: T,
    pub run: RunKey,
}

/// Load of one class of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassLoad {
    /// slots that the class could take now
    pub free_slots: u32,
    /// expected wait of one more task
    pub wait: Duration,
    /// mean run time observed
    pub mean_run: Duration,
}

/// Queueing discipline: the order in which tasks take the slots.
pub trait Discipline<T> {
    /// Queues a task.
    ///
    /// # Errors
    /// Returns the task if it can't end by its deadline or the queue is full.
    fn push(&mut self, task: TaskInfo, item: T, now: Instant) -> Result<Ticket, Refused<T>>;

    /// Removes the next task to start, or the next that has become too late.
    fn pop(&mut self, now: Instant) -> PopResult<T>;

    /// Removes a task that has not started.
    fn remove(&mut self, ticket: Ticket) -> Option<T>;

    /// Changes the number of slots; running tasks are not affected.
    fn resize(&mut self, slots: usize);

    /// Frees a slot; `ran` is the observed run time, if there is one.
    fn end(&mut self, run: RunKey, ran: Option<Duration>);

    /// Removes every queued task.
    fn clear(&mut self) -> Vec<T>;

    /// When the next queued task becomes too late to start.
    fn next_expiry(&self) -> Option<Instant>;

    /// Load of a class, with the expected wait of one more task.
    fn class_load(&self, class: Class, now: Instant) -> ClassLoad;

    fn queued(&self) -> usize;

    fn running(&self) -> usize;
}
