use std::time::Instant;

use base::{Member, TaskId};
use claim::Tenure;

/// What the rest of a program asks of the roster.
pub trait Homes {
    /// This process as the roster lists it now; `None` where it is no member.
    /// A member that was removed but lives comes back under a new incarnation.
    fn me(&self) -> Option<Member>;

    /// The home of a task; `None` while the roster is empty or unknown.
    fn home(&self, id: &TaskId) -> Option<Member>;

    /// Whether this process may act as home for a task at this moment.
    fn tenure(&self, id: &TaskId, now: Instant) -> Tenure;

    /// Epoch of the roster known here, 0 when there is none.
    fn epoch(&self) -> u64;

    /// Members that may be granted claims.
    fn members(&self) -> Vec<Member>;
}
