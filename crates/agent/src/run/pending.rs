use std::{collections::HashMap, time::Instant};

use base::{Task, TaskId};
use queue::Ticket;
use tokio::sync::oneshot;
use wire::{Load, Reply};

use super::message::Response;

/// Tasks that are not over, and the calls that wait for them.
#[derive(Default)]
pub struct PendingTasks {
    tasks: HashMap<TaskId, PendingTask>,
}

struct PendingTask {
    task: Task,
    /// latest deadline of the calls that wait
    deadline: Instant,
    queued: Option<Queued>,
    calls: Vec<Call>,
}

/// A place in the queue, and the deadline it was given.
struct Queued {
    ticket: Ticket,
    deadline: Instant,
}

/// A call that waits for a task.
pub struct Call {
    pub reply: oneshot::Sender<Response>,
    pub deadline: Instant,
    /// when its entry took it, unix milliseconds
    pub received_ms: u64,
}

impl PendingTasks {
    /// Adds a task; calls that waited for its last claim wait on.
    pub fn insert(&mut self, task: Task, call: Call) {
        if let Err(call) = self.attach(&task.id, call) {
            let (id, deadline) = (task.id.clone(), call.deadline);
            self.tasks.insert(id, PendingTask { task, deadline, queued: None, calls: vec![call] });
        }
    }

    /// Adds a call to a task; the task may now wait until its deadline. When
    /// nothing is known of the task, the call is given back.
    pub fn attach(&mut self, id: &TaskId, call: Call) -> Result<(), Call> {
        let Some(entry) = self.tasks.get_mut(id) else { return Err(call) };
        entry.deadline = entry.deadline.max(call.deadline);
        entry.calls.push(call);
        Ok(())
    }

    /// The task, with the latest deadline of its calls.
    pub fn task(&self, id: &TaskId) -> Option<Task> {
        let entry = self.tasks.get(id)?;
        Some(Task { deadline: entry.deadline, ..entry.task.clone() })
    }

    /// Notes that the task took a place in the queue.
    pub fn on_queued(&mut self, id: &TaskId, ticket: Ticket) {
        if let Some(entry) = self.tasks.get_mut(id) {
            entry.queued = Some(Queued { ticket, deadline: entry.deadline });
        }
    }

    /// Notes that the task left the queue.
    pub fn on_dequeued(&mut self, id: &TaskId) {
        if let Some(entry) = self.tasks.get_mut(id) {
            entry.queued = None;
        }
    }

    /// Whether a call gave the task more time than the queue knows of.
    pub fn has_more_time(&self, id: &TaskId) -> bool {
        let Some(PendingTask { queued: Some(queued), deadline, .. }) = self.tasks.get(id) else {
            return false;
        };
        queued.deadline < *deadline
    }

    pub fn ticket(&self, id: &TaskId) -> Option<Ticket> {
        Some(self.tasks.get(id)?.queued.as_ref()?.ticket)
    }

    /// Answers the calls of a task begun after a moment, and keeps the rest.
    pub fn answer_newer(&mut self, id: &TaskId, started: u64, reply: &Reply, load: Load) {
        let Some(entry) = self.tasks.get_mut(id) else { return };
        for call in entry.calls.extract_if(.., |call| call.received_ms > started) {
            call.answer(reply.clone(), load);
        }
    }

    /// Answers every call of a task and forgets it.
    pub fn answer(&mut self, id: &TaskId, reply: &Reply, load: Load) {
        let Some(entry) = self.tasks.remove(id) else { return };
        for call in entry.calls {
            call.answer(reply.clone(), load);
        }
    }

    pub fn len(&self) -> usize {
        self.tasks.len()
    }
}

impl Call {
    pub fn answer(self, reply: Reply, load: Load) {
        // the entry may have gone
        let _ = self.reply.send(Response { reply, load });
    }
}
