//! Service-level burn: how fast the error budget of each service is spent.
//!
//! Entries count their final answers by the minute and keep the counts of an
//! hour in one object of the object store. A report merges the objects of all
//! entries, tells the burn rates over several windows, and says for which
//! stretches counts are missing.

mod chunk;
mod count;
mod objective;
mod page;
mod recorder;
mod report;

pub use chunk::{HourCounts, ProcessCounts};
pub use count::Count;
pub use objective::{Goal, Objective};
pub use page::html_page;
pub use recorder::{PendingHour, Recorder};
pub use report::{Gap, Rates, Report, Row, State, WINDOW_PAIRS, WindowPair};

pub const MINUTE_MS: u64 = 60_000;
pub const HOUR_MS: u64 = 60 * MINUTE_MS;

/// What can go wrong with a report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("counts can't be read: {0}")]
    Unreadable(String),
    #[error("the plot can't be drawn: {0}")]
    Plot(String),
}

pub type Result<T> = std::result::Result<T, Error>;
