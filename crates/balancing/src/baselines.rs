use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{Candidates, Policy, policy::random_eligible};

/// Baseline: a random agent.
pub struct Random {
    rng: SmallRng,
}

impl Random {
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Policy for Random {
    fn pick(&mut self, from: &dyn Candidates) -> Option<usize> {
        random_eligible(from, &mut self.rng)
    }
}

/// Baseline: each agent in turn.
#[derive(Default)]
pub struct RoundRobin {
    last: usize,
}

impl Policy for RoundRobin {
    fn pick(&mut self, from: &dyn Candidates) -> Option<usize> {
        let len = from.len();
        let next = (1..=len).map(|i| (self.last + i) % len);
        let index = { next }.find(|i| from.view(*i).is_some())?;
        self.last = index;
        Some(index)
    }
}

/// Baseline: the agent with the fewest tasks of this entry, out of all.
pub struct LeastOutstanding {
    rng: SmallRng,
}

impl LeastOutstanding {
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Policy for LeastOutstanding {
    fn pick(&mut self, from: &dyn Candidates) -> Option<usize> {
        let eligible = (0..from.len()).filter_map(|i| Some((i, from.view(i)?)));
        eligible
            .map(|(i, view)| (view.outstanding, self.rng.random::<u32>(), i))
            .min()
            .map(|(_, _, index)| index)
    }
}
