use std::{collections::VecDeque, time::Duration};

use base::TaskId;

/// Keys by the time at which their rows may expire, earliest first.
#[derive(Default)]
pub struct ExpiryQueue {
    due: VecDeque<(Duration, TaskId)>,
}

impl ExpiryQueue {
    /// `at` must be no earlier than in the calls before.
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
