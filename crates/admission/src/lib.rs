//! Admission control of an entry: refuses submissions that can't end by their
//! deadline, divides a busy service fairly among teams, sets when refused
//! callers retry, and limits retries.

mod admission;
mod budget;
mod usage;

pub use admission::{Admission, Refusal, RefusalReason, ServiceLoad, Settings, Submission};
pub use budget::{RetryBudget, RetryBudgetSettings};
pub use usage::{Entitlement, TeamUsage};
