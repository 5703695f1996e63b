//! Types shared by all egretshelf crates: tasks and their identity, the four
//! outcomes, numbered log events, invariants and the fleet token.

mod event;
mod id;
mod invariant;
mod logging;
mod member;
mod outcome;
mod task;
mod time;
mod token;
mod uptime;

pub use event::Event;
pub use id::{MAX_KEY_BYTES, Name, TaskId};
pub use invariant::{broken_count, panic_on_broken, report_broken};
pub use log::kv::Value as LogValue;
pub use logging::{dropped_lines, flush_log, start_logging};
pub use member::Member;
pub use outcome::{Answer, Outcome};
pub use task::{Digest, Task};
pub use time::{Utc, now_ms, now_us};
pub use token::Token;
pub use uptime::{Uptime, uptime};
