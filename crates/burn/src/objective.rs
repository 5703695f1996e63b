use serde::Serialize;

use crate::Count;

const MILLION: f64 = 1e6;

/// Service-level objectives of a service, in requests per million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Objective {
    pub timely_ppm: u64,
    pub honest_ppm: u64,
}

/// One of the two objectives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// answered in time
    Timely,
    /// answered other than `unknown`
    Honest,
}

impl Goal {
    pub const ALL: [Goal; 2] = [Goal::Timely, Goal::Honest];

    pub fn as_str(self) -> &'static str {
        match self {
            Goal::Timely => "timely",
            Goal::Honest => "honest",
        }
    }

    fn good(self, count: Count) -> u64 {
        match self {
            Goal::Timely => count.timely,
            Goal::Honest => count.honest,
        }
    }
}

impl Objective {
    pub fn ppm(self, goal: Goal) -> u64 {
        match goal {
            Goal::Timely => self.timely_ppm,
            Goal::Honest => self.honest_ppm,
        }
    }

    /// Burn rate of the error budget: 1 spends it exactly in full. `None` when
    /// there were no answers.
    pub fn rate(self, goal: Goal, count: Count) -> Option<f64> {
        if count.total == 0 {
            return None;
        }
        let bad = (count.total - goal.good(count)) as f64 / count.total as f64;
        let budget = (MILLION - self.ppm(goal) as f64) / MILLION;
        Some(bad / budget)
    }
}
