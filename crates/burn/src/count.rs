use std::{ops::AddAssign, time::Duration};

use base::Outcome;
use serde::{Deserialize, Serialize};

/// Final answers, and how many of them were good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    pub total: u64,
    /// ran, and answered by the deadline
    pub timely: u64,
    /// answered other than `unknown`
    pub honest: u64,
}

impl Count {
    /// One answer, and the time that was left to its deadline.
    pub fn of(outcome: Outcome, left: Option<Duration>) -> Self {
        let ran = matches!(outcome, Outcome::Done | Outcome::Failed);
        Self {
            total: 1,
            timely: u64::from(ran && left.is_some()),
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
