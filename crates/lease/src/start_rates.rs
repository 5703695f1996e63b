use std::{collections::HashMap, time::Duration};

use base::{Name, Uptime};

/// Time constant of the average rate of starts.
const WINDOW: Duration = Duration::from_secs(2);
/// Starts of one job within this time count once.
const SAME_START: Duration = Duration::from_millis(5);
/// A queue without a start for longer is forgotten.
const RETENTION: Duration = Duration::from_secs(10);
/// Lowest probability that is reported.
const MIN_CHANCE: f64 = 1e-3;

/// How often the jobs of each queue start on a backend server.
///
/// If a queue has nothing to do with a crash, the probability that its newest start was
/// as short a time before the crash as it was, or shorter, is uniformly distributed: the
/// rate of its starts is taken into account. So a busy queue isn't blamed for crashes
/// only because it always has a young run.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartRates {
    queues: HashMap<Name, Starts>,
}

#[derive(Clone, Debug)]
struct Starts {
    /// starts, with exponential decay until `last_at`
    count: f64,
    last_at: Uptime,
    last_job: Name,
}

impl StartRates {
    /// Records the start of a task.
    pub fn record(&mut self, queue: &Name, job: &Name, now: Uptime) {
        let Some(starts) = self.queues.get_mut(queue) else {
            self.queues.retain(|_, starts| starts.last_at + RETENTION > now);
            let starts = Starts { count: 1.0, last_at: now, last_job: job.clone() };
            self.queues.insert(queue.clone(), starts);
            return;
        };
        let is_same = starts.last_job == *job && starts.last_at + SAME_START > now;
        if !is_same {
            starts.count = starts.count_at(now) + 1.0;
            starts.last_at = now;
            starts.last_job = job.clone();
        }
    }

    /// Probability of a start as near to a crash by coincidence, for each queue with recent
    /// starts.
    pub fn chances(&self, crashed_at: Uptime) -> Vec<(Name, f64)> {
        let recent = self.queues.iter().filter(|(_, s)| s.last_at + RETENTION > crashed_at);
        recent.map(|(queue, starts)| (queue.clone(), starts.chance(crashed_at))).collect()
    }
}

impl Starts {
    fn count_at(&self, now: Uptime) -> f64 {
        let age = now.saturating_sub(self.last_at);
        self.count * (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }

    fn chance(&self, crashed_at: Uptime) -> f64 {
        let rate = self.count / WINDOW.as_secs_f64();
        let age = crashed_at.saturating_sub(self.last_at);
        (1.0 - (-rate * age.as_secs_f64()).exp()).max(MIN_CHANCE)
    }
}
