//! Admission at an entry: whether a submission can end by its deadline, what
//! each team may take of a busy service, when a refused caller comes back, and
//! how many tries may follow the first ones.

mod admission;
mod budget;
mod usage;

pub use admission::{Admission, Submission, ServiceLoad, Refusal, Settings, RefusalReason};
pub use budget::{RetryBudgetSettings, RetryBudget};
pub use usage::{Entitlement, TeamUsage};
