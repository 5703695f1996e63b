//! Client of the platform: a transactional table of versioned rows and an
//! object store. Both have outages, and the reply to a write may be lost after
//! the write took effect, so [`commit`] resolves an indeterminate write by
//! reading the row back.

mod availability;
mod commit;
mod elements;
mod http;

use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

pub use availability::Availability;
pub use commit::{RowWrite, commit};
pub use elements::{Elements, readable_text};
pub use http::HttpPlatform;

/// Failure of a call to the platform.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// nothing was written
    #[error("row changed meanwhile: it is at version {}", .0.version)]
    Conflict(Row),
    /// a read failed, or a write may or may not have taken effect
    #[error("platform can't be reached: {0}")]
    Unavailable(String),
    /// a write may or may not have taken effect, and this couldn't be resolved
    #[error("whether the write took effect can't be told: {0}")]
    Indeterminate(String),
    #[error("platform's answer can't be read: {0}")]
    Malformed(String),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Version of a row; 0 if the row doesn't exist.
pub type Version = u64;

/// One row of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub version: Version,
    pub value: String,
}

/// A row with its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRow {
    pub key: String,
    #[serde(flatten)]
    pub row: Row,
}

/// Versioned rows that are changed by compare-and-set.
pub trait Table {
    /// Reads a row; its version is 0 if it doesn't exist.
    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Row>>;

    /// Reads all rows whose key starts with `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<KeyedRow>>>;

    /// Writes a row if it is still at version `expected`; returns the new
    /// version, `expected + 1`.
    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        value: String,
    ) -> LocalBoxFuture<'a, Result<Version>>;
}

/// Named objects that are replaced as a whole; the last write wins.
pub trait ObjectStore {
    /// Reads an object; `None` if it doesn't exist.
    fn load<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<String>>>;

    fn store<'a>(&'a self, name: &'a str, value: String) -> LocalBoxFuture<'a, Result<()>>;
}
