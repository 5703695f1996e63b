//! Admission at an entry: whether a submission can end by its deadline, what
//! each team may take of a busy service, when a refused caller comes back, and
//! how many tries may follow the first ones.

mod admission;
mod budget;
mod usage;

pub use admission::{Admission, Refusal, RefusalReason, ServiceLoad, Settings, Submission};
pub use budget::{RetryBudget, RetryBudgetSettings};
pub use usage::{Entitlement, TeamUsage};
