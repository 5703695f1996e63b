use std::{cmp::Ordering, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{AgentView, Candidates, Policy, policy::any};

/// Cost of an agent all of whose runs fail; it grows with the square of the share.
const FAILING_COST: Duration = Duration::from_secs(1);
/// Run time assumed of an agent that has reported none.
const UNKNOWN_MEAN: Duration = Duration::from_millis(1);

/// Settings of the choice by expected wait.
#[derive(Clone, Debug)]
pub struct ExpectedWaitSettings {
    /// candidates weighed for each task
    pub samples: usize,
    /// weight of the run time there, against a weight of 1 for the wait
    pub run_weight: f64,
    /// chance that another entry takes a free slot first, 0 to 1
    pub risk: f64,
}

impl Default for ExpectedWaitSettings {
    fn default() -> Self {
        Self { samples: 12, run_weight: 0.02, risk: 0.6 }
    }
}

/// The agent where the task is expected to wait and run the shortest, out of
/// a few chosen at random.
pub struct ExpectedWait {
    settings: ExpectedWaitSettings,
    rng: SmallRng,
}

impl ExpectedWait {
    pub fn new(settings: ExpectedWaitSettings, seed: u64) -> Self {
        Self { settings, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Cost of a candidate in seconds.
    fn cost(&self, view: &AgentView) -> f64 {
        let run = view.mean_run.as_secs_f64() * self.settings.run_weight;
        let wait = view.expected_wait().max(self.collision(view));
        let cost = wait.as_secs_f64() + run + view.network_delay.as_secs_f64();
        cost + FAILING_COST.as_secs_f64() * view.failure_rate * view.failure_rate
    }

    /// Wait to expect from other entries that take the last free slots.
    fn collision(&self, view: &AgentView) -> Duration {
        let spare = view.free_slots.saturating_sub(view.unreported).min(32);
        (view.mean_run / view.slots.max(1)).mul_f64(self.settings.risk.powi(spare as i32))
    }

    /// The cheapest of some candidates that are open.
    fn cheapest(
        &mut self,
        from: &dyn Candidates,
        among: impl Iterator<Item = usize>,
    ) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for index in among {
            let Some(view) = from.view(index) else { continue };
            let cost = self.cost(&view);
            if best.is_none_or(|(least, _)| cost.total_cmp(&least) == Ordering::Less) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| index)
    }
}

impl Policy for ExpectedWait {
    fn pick(&mut self, from: &dyn Candidates) -> Option<usize> {
        let len = from.len();
        let samples = self.settings.samples;
        if len == 0 {
            return None;
        }
        // neighbours from a random start tell apart as well as separate draws
        let start = self.rng.random_range(0..len);
        if len <= samples {
            return self.cheapest(from, (0..len).map(|i| (start + i) % len));
        }
        let drawn: Vec<usize> = (0..samples).map(|_| self.rng.random_range(0..len)).collect();
        let found = self.cheapest(from, drawn.into_iter());
        found.or_else(|| any(from, &mut self.rng))
    }
}

impl AgentView {
    /// Expected wait there, counting what was sent since the last report.
    pub fn expected_wait(&self) -> Duration {
        if self.unreported < self.free_slots {
            return Duration::ZERO;
        }
        let ahead = self.unreported - self.free_slots;
        let mean = self.mean_run.max(UNKNOWN_MEAN);
        let turn = mean / self.slots.max(1);
        let first = if self.free_slots > 0 { turn } else { self.wait };
        first + turn * ahead
    }
}
