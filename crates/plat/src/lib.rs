//! Client of the platform: a transactional table of versioned rows and an
//! object store. Both have outages, and the reply to a write may be lost
//! after the write took effect, so callers settle an unclear write by reading
//! the row again.

mod availability;
mod commit;
mod http;

use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

pub use availability::Availability;
pub use commit::{RowWrite, commit};
pub use http::HttpPlatform;

/// What can go wrong between this process and the platform.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// nothing was written
    #[error("row changed meanwhile: it is at version {}", .0.version)]
    Conflict(Row),
    /// a read failed, or a write may or may not have taken effect
    #[error("platform can't be reached: {0}")]
    Unavailable(String),
    /// a write may or may not have taken effect, and that couldn't be settled
    #[error("whether the write took effect can't be told: {0}")]
    Indeterminate(String),
    #[error("platform's answer can't be read: {0}")]
    Malformed(String),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Version of a row; 0 for one that isn't there.
pub type Version = u64;

/// One row of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub version: Version,
    pub value: String,
}

/// A row under its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRow {
    pub key: String,
    #[serde(flatten)]
    pub row: Row,
}

/// Versioned rows changed by compare-and-set.
pub trait Table {
    /// Reads a row; version 0 when there is none.
    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Row>>;

    /// Reads every row whose key starts with a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<KeyedRow>>>;

    /// Writes a row if it still is at `expected`, and gives its new version,
    /// which is one more.
    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        value: String,
    ) -> LocalBoxFuture<'a, Result<Version>>;
}

/// Whole objects under a name; the last write wins.
pub trait ObjectStore {
    /// Reads an object; `None` when there is none.
    fn load<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<String>>>;

    fn store<'a>(&'a self, name: &'a str, value: String) -> LocalBoxFuture<'a, Result<()>>;
}
