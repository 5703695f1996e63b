use std::time::Duration;

use base::{Name, now_ms};
use platform_client::{Error as PlatError, RowWrite, Version, commit};
use roster::Roster;

use crate::{
    Error, Result,
    client::{Author, Fleet},
};

const SETTLE_LIMIT: Duration = Duration::from_secs(10);
/// Agents change the row as well.
const MAX_TRIES: u32 = 5;

/// Vouches for members of a roster that are lost for good, so that the others
/// may go on without their promises.
pub async fn confirm_loss(
    fleet: &Fleet,
    author: &Author,
    service: &str,
    lost: &[Name],
    reason: &str,
) -> Result<Version> {
    let Some(name) = &author.name else {
        return Err(Error::Refused("a loss needs an author: give --author".to_owned()));
    };
    let mut last = 0;
    for _ in 0..MAX_TRIES {
        let row = fleet.table().get(&Roster::row_key(service)).await?;
        if row.version == 0 {
            return Err(Error::Refused(format!("service {service} has no roster")));
        }
        let roster = Roster::from_text(&row.value).map_err(refused)?;
        let next = roster.confirm_loss(lost, name, reason, now_ms()).map_err(refused)?;
        let is_ours = |text: &str| {
            Roster::from_text(text).is_ok_and(|roster| roster.confirmed_loss == next.confirmed_loss)
        };
        let key = Roster::row_key(service);
        let value = next.to_text();
        let write = RowWrite { key: &key, expected: row.version, value, is_own: &is_ours };
        match commit(fleet.table(), write, SETTLE_LIMIT).await {
            Ok(version) => return Ok(version),
            Err(PlatError::Conflict(row)) => last = row.version,
            Err(e) => return Err(Error::Unreachable("the platform".to_owned(), e.to_string())),
        }
    }
    Err(Error::Conflict { version: last, changes: Vec::new() })
}

fn refused(error: roster::Error) -> Error {
    Error::Refused(error.to_string())
}
