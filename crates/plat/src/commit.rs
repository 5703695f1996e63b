use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::{Error, Result, Row, Table, Version};

const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// One write of a row, which its writer can tell from everyone else's.
pub struct RowWrite<'a> {
    pub key: &'a str,
    /// version the row must still be at
    pub expected: Version,
    pub value: String,
    /// whether a value of the row came of this write
    pub is_own: &'a dyn Fn(&str) -> bool,
}

/// Writes a row by compare-and-set and settles a lost reply: reads the row
/// back, and writes again while nobody has changed it. The same write can
/// take effect once only, for it names the version that it replaces.
///
/// # Errors
/// `Conflict` when another write won, `Unclear` when it can't be told in time.
pub async fn commit(table: &dyn Table, write: RowWrite<'_>, limit: Duration) -> Result<Version> {
    let start = Instant::now();
    loop {
        match table.put(write.key, write.expected, write.value.clone()).await {
            Ok(version) => return Ok(version),
            Err(Error::Conflict(row)) => return resolve(&write, row),
            Err(e) if start.elapsed() >= limit => return Err(Error::Indeterminate(e.to_string())),
            Err(_) => {}
        }
        if let Ok(row) = table.get(write.key).await
            && row.version > write.expected
        {
            return resolve(&write, row);
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// The row has moved on: by this write, or by another that won.
fn resolve(write: &RowWrite<'_>, row: Row) -> Result<Version> {
    if (write.is_own)(&row.value) {
        return Ok(write.expected + 1);
    }
    Err(Error::Conflict(row))
}
