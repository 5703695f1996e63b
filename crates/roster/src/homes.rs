use std::time::Instant;

use base::{Member, TaskId};
use claim::Tenure;

/// The roster as the rest of a program uses it.
pub trait Homes {
    /// This process in its current incarnation; `None` if it is no member. A
    /// live member that was removed rejoins under a new incarnation.
    fn me(&self) -> Option<Member>;

    /// The home of a task; `None` while the roster is empty or unknown.
    fn home(&self, id: &TaskId) -> Option<Member>;

    /// Whether this process may act as home for a task at `now`.
    fn tenure(&self, id: &TaskId, now: Instant) -> Tenure;

    /// Epoch of the roster known here, 0 if there is none.
    fn epoch(&self) -> u64;

    /// Members that may be granted claims.
    fn members(&self) -> Vec<Member>;
}
