use std::{collections::HashMap, time::Instant};

use base::{Task, TaskId};
use queue::Ticket;
use tokio::sync::oneshot;
use wire::{Load, Reply};

use super::message::Response;

/// Tasks that have not ended, with the calls that wait for them.
#[derive(Default)]
pub struct PendingTasks {
    tasks: HashMap<TaskId, PendingTask>,
}

struct PendingTask {
    task: Task,
    /// latest deadline of the calls
    deadline: Instant,
    queued: Option<Queued>,
    calls: Vec<Call>,
}

/// Position in the queue, and the deadline that the queue was given.
struct Queued {
    ticket: Ticket,
    deadline: Instant,
}

/// Call that waits for the answer to a task.
pub struct Call {
    pub reply: oneshot::Sender<Response>,
    pub deadline: Instant,
    /// when the entry received the call, Unix time
    pub received_ms: u64,
}

impl PendingTasks {
    /// Adds a task; calls left from its previous claim keep waiting.
    pub fn insert(&mut self, task: Task, call: Call) {
        if let Err(call) = self.attach(&task.id, call) {
            let (id, deadline) = (task.id.clone(), call.deadline);
            self.tasks.insert(id, PendingTask { task, deadline, queued: None, calls: vec![call] });
        }
    }

    /// Adds a call to a task and extends the task's deadline to that of the call.
    /// Returns the call if there is no such task.
    pub fn attach(&mut self, id: &TaskId, call: Call) -> Result<(), Call> {
        let Some(pending) = self.tasks.get_mut(id) else { return Err(call) };
        pending.deadline = pending.deadline.max(call.deadline);
        pending.calls.push(call);
        Ok(())
    }

    /// Returns the task with the latest deadline of its calls.
    pub fn task(&self, id: &TaskId) -> Option<Task> {
        let pending = self.tasks.get(id)?;
        Some(Task { deadline: pending.deadline, ..pending.task.clone() })
    }

    /// Records that the task was queued.
    pub fn on_queued(&mut self, id: &TaskId, ticket: Ticket) {
        if let Some(pending) = self.tasks.get_mut(id) {
            pending.queued = Some(Queued { ticket, deadline: pending.deadline });
        }
    }

    /// Records that the task has left the queue.
    pub fn on_dequeued(&mut self, id: &TaskId) {
        if let Some(pending) = self.tasks.get_mut(id) {
            pending.queued = None;
        }
    }

    /// Whether a later call has extended the deadline that the queue was given.
    pub fn has_more_time(&self, id: &TaskId) -> bool {
        let Some(PendingTask { queued: Some(queued), deadline, .. }) = self.tasks.get(id) else {
            return false;
        };
        queued.deadline < *deadline
    }

    pub fn ticket(&self, id: &TaskId) -> Option<Ticket> {
        Some(self.tasks.get(id)?.queued.as_ref()?.ticket)
    }

    /// Answers the calls that were received after `received_ms`; the others stay.
    pub fn answer_newer(&mut self, id: &TaskId, received_ms: u64, reply: &Reply, load: Load) {
        let Some(pending) = self.tasks.get_mut(id) else { return };
        for call in pending.calls.extract_if(.., |call| call.received_ms > received_ms) {
            call.answer(reply.clone(), load);
        }
    }

    /// Answers all calls of a task and removes it.
    pub fn answer(&mut self, id: &TaskId, reply: &Reply, load: Load) {
        let Some(pending) = self.tasks.remove(id) else { return };
        for call in pending.calls {
            call.answer(reply.clone(), load);
        }
    }

    pub fn len(&self) -> usize {
        self.tasks.len()
    }
}

impl Call {
    pub fn answer(self, reply: Reply, load: Load) {
        // an error means that the entry no longer waits
        let _ = self.reply.send(Response { reply, load });
    }
}
