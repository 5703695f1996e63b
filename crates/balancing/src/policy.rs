use rand::Rng;

use crate::Candidates;

/// Random draws before all candidates are scanned.
const RANDOM_TRIES: usize = 8;

/// Load balancing policy.
pub trait Policy {
    /// Index of the chosen agent; `None` if none may take the task.
    fn pick(&mut self, from: &dyn Candidates) -> Option<usize>;
}

/// A random candidate that may take the task; scans all only if the draws fail.
pub(crate) fn random_eligible(from: &dyn Candidates, rng: &mut impl Rng) -> Option<usize> {
    let len = from.len();
    if len == 0 {
        return None;
    }
    let tried = (0..RANDOM_TRIES).map(|_| rng.random_range(0..len));
    if let Some(found) = { tried }.find(|i| from.view(*i).is_some()) {
        return Some(found);
    }
    let start = rng.random_range(0..len);
    (start..len).chain(0..start).find(|i| from.view(*i).is_some())
}
