use std::{ops::AddAssign, time::Duration};

use base::Outcome;
use serde::{Deserialize, Serialize};

/// Number of final answers, and how many of them met each objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    pub total: u64,
    /// ran, and answered by the deadline
    pub timely: u64,
    /// answered other than `unknown`
    pub honest: u64,
}

impl Count {
    /// Counts one answer; `time_left` to its deadline is `None` after the deadline.
    pub fn of(outcome: Outcome, time_left: Option<Duration>) -> Self {
        let ran = matches!(outcome, Outcome::Done | Outcome::Failed);
        Self {
            total: 1,
            timely: u64::from(ran && time_left.is_some()),
            honest: u64::from(outcome != Outcome::Unknown),
        }
    }
}

impl AddAssign for Count {
    fn add_assign(&mut self, other: Self) {
        self.total += other.total;
        self.timely += other.timely;
        self.honest += other.honest;
    }
}
