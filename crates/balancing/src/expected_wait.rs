use std::{cmp::Ordering, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{AgentView, Candidates, Policy, policy::random_eligible};

/// Cost of an agent whose runs all fail; it grows with the square of the share.
const FAILING_COST: Duration = Duration::from_secs(1);
/// Run time assumed for an agent that has reported none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(1);

/// Settings of `ExpectedWait`.
#[derive(Clone, Debug)]
pub struct ExpectedWaitSettings {
    /// candidates compared for each task
    pub samples: usize,
    /// weight of the run time, where the wait has weight 1
    pub run_weight: f64,
    /// probability that another entry takes a free slot first, 0 to 1
    pub collision_risk: f64,
}

impl Default for ExpectedWaitSettings {
    fn default() -> Self {
        Self { samples: 12, run_weight: 0.02, collision_risk: 0.6 }
    }
}

/// Chooses the agent with the shortest expected wait and run time out of a
/// random sample.
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
        let wait = view.expected_wait().max(self.collision_wait(view));
        let cost = wait.as_secs_f64() + run + view.network_delay.as_secs_f64();
        cost + FAILING_COST.as_secs_f64() * view.failure_rate * view.failure_rate
    }

    /// Expected wait if other entries take the last free slots.
    fn collision_wait(&self, view: &AgentView) -> Duration {
        let free = view.free_slots.saturating_sub(view.unreported).min(32);
        (view.mean_run / view.slots.max(1)).mul_f64(self.settings.collision_risk.powi(free as i32))
    }

    /// The eligible candidate with the lowest cost.
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
        // with few agents all are compared; the random start breaks ties
        let start = self.rng.random_range(0..len);
        if len <= samples {
            return self.cheapest(from, (0..len).map(|i| (start + i) % len));
        }
        let drawn: Vec<usize> = (0..samples).map(|_| self.rng.random_range(0..len)).collect();
        let found = self.cheapest(from, drawn.into_iter());
        found.or_else(|| random_eligible(from, &mut self.rng))
    }
}

impl AgentView {
    /// Expected wait, including tasks sent since the last report.
    pub fn expected_wait(&self) -> Duration {
        if self.unreported < self.free_slots {
            return Duration::ZERO;
        }
        let ahead = self.unreported - self.free_slots;
        let mean = self.mean_run.max(DEFAULT_RUN_TIME);
        let turn = mean / self.slots.max(1);
        let first = if self.free_slots > 0 { turn } else { self.wait };
        first + turn * ahead
    }
}
