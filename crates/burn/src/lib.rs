//! Service-level burn: how fast the error budget of each service is spent.
//!
//! Entries count their final answers by the minute and store the counts of each
//! hour as one object of the object store. A report merges the objects of all
//! entries, gives the burn rates over several windows, and lists the periods for
//! which counts are missing.

mod count;
mod hour_counts;
mod html_page;
mod objective;
mod recorder;
mod report;

pub use count::Count;
pub use hour_counts::{HourCounts, ProcessCounts};
pub use html_page::html_page;
pub use objective::{Goal, Objective};
pub use recorder::{PendingHour, Recorder};
pub use report::{Gap, Rates, Report, Row, State, WINDOW_PAIRS, WindowPair};

pub const MINUTE_MS: u64 = 60_000;
pub const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Errors of stored counts and of reports.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("counts can't be read: {0}")]
    Unreadable(String),
    #[error("the plot can't be drawn: {0}")]
    Plot(String),
}

pub type Result<T> = std::result::Result<T, Error>;
