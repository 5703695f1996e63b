//! At-most-once start of keyed tasks. The home of a key grants its claim, the
//! right to start the task, to one executor; the executor keeps a record of the
//! claim and of the answer; the entry follows a call until its outcome is
//! certain. All three are state machines without I/O or clocks.

mod call;
mod expiry;
mod grant;
mod limits;
mod records;
mod table;
mod tenure;

pub use call::{Call, CallEvent, CallStep};
pub use grant::{Claim, ClaimState, Grant, Holder, Record, Release};
pub use limits::{Limits, Now};
pub use records::{Records, Stage, TaskCheck};
pub use table::{KeyInfo, Table};
pub use tenure::Tenure;
