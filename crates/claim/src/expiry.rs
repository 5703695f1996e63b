use std::{collections::VecDeque, time::Duration};

use base::TaskId;

/// What to look at when its time is over, oldest first.
#[derive(Default)]
pub struct ExpiryQueue {
    due: VecDeque<(Duration, TaskId)>,
}

impl ExpiryQueue {
    /// Times must not fall from one call to the next.
    pub fn push(&mut self, at: Duration, id: TaskId) {
        self.due.push_back((at, id));
    }

    pub fn pop(&mut self, now: Duration) -> Option<TaskId> {
        if self.due.front()?.0 > now {
            return None;
        }
        self.due.pop_front().map(|(_, id)| id)
    }
}
