use rand::Rng;

use crate::Candidates;

/// Random tries before all candidates are looked at.
const TRIES: usize = 8;

/// A way to choose an agent.
pub trait Policy {
    /// Index of the agent to take; `None` when none may take the task.
    fn pick(&mut self, from: &dyn Candidates) -> Option<usize>;
}

/// Any candidate that may take the task; looks at all only when few may.
pub(crate) fn any(from: &dyn Candidates, rng: &mut impl Rng) -> Option<usize> {
    let len = from.len();
    if len == 0 {
        return None;
    }
    let tried = (0..TRIES).map(|_| rng.random_range(0..len));
    if let Some(found) = { tried }.find(|i| from.view(*i).is_some()) {
        return Some(found);
    }
    let start = rng.random_range(0..len);
    (start..len).chain(0..start).find(|i| from.view(*i).is_some())
}
