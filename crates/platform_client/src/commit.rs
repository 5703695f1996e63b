use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::{Error, Result, Row, Table, Version};

const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Write of a row that its writer can tell from all others.
pub struct RowWrite<'a> {
    pub key: &'a str,
    /// version that the row must still have
    pub expected: Version,
    pub value: String,
    /// whether a value read back contains this write
    pub is_own: &'a dyn Fn(&str) -> bool,
}

/// Writes a row by compare-and-set. If the reply is lost, reads the row back and
/// retries while the row is unchanged. A retry can't apply the write twice, as
/// it names the version that it replaces.
///
/// # Errors
/// `Conflict` if another write won, `Indeterminate` if the result isn't known within `limit`.
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

/// Tells from a changed row whether this write or another one won.
fn resolve(write: &RowWrite<'_>, row: Row) -> Result<Version> {
    if (write.is_own)(&row.value) {
        return Ok(write.expected + 1);
    }
    Err(Error::Conflict(row))
}
