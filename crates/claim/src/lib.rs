//! Claims of keyed tasks: the home of a key grants the right to start it at
//! most once, the executor keeps a record of what it was granted and what
//! became of it, and the entry follows one call to its honest answer. All
//! three are pure: messages and time go in, decisions come out.

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
