use std::time::Duration;

use base::{Name, now_ms};
use platform_client::{Error as PlatError, RowWrite, Version, commit};
use roster::Roster;

use crate::{
    Error, Result,
    client::{Author, Fleet},
};

const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Agents write the same row, so conflicts are expected.
const MAX_ATTEMPTS: u32 = 5;

/// Records an operator's confirmation that members of a roster are permanently
/// lost, so that the other members can proceed without their promises.
pub async fn confirm_loss(
    fleet: &Fleet,
    author: &Author,
    service: &str,
    lost: &[Name],
    reason: &str,
) -> Result<Version> {
    let Some(name) = &author.name else {
        return Err(Error::Refused(
            "confirming a loss requires an author: pass --author".to_owned(),
        ));
    };
    let mut last_version = 0;
    for _ in 0..MAX_ATTEMPTS {
        let row = fleet.table().get(&Roster::row_key(service)).await?;
        if row.version == 0 {
            return Err(Error::Refused(format!("service {service} has no roster")));
        }
        let roster = Roster::from_text(&row.value).map_err(refused)?;
        let next = roster.confirm_loss(lost, name, reason, now_ms()).map_err(refused)?;
        let is_own = |text: &str| {
            Roster::from_text(text).is_ok_and(|roster| roster.confirmed_loss == next.confirmed_loss)
        };
        let key = Roster::row_key(service);
        let value = next.to_text();
        let write = RowWrite { key: &key, expected: row.version, value, is_own: &is_own };
        match commit(fleet.table(), write, COMMIT_TIMEOUT).await {
            Ok(version) => return Ok(version),
            Err(PlatError::Conflict(row)) => last_version = row.version,
            Err(e) => return Err(Error::Unreachable("the platform".to_owned(), e.to_string())),
        }
    }
    Err(Error::Conflict { version: last_version, changes: Vec::new() })
}

fn refused(error: roster::Error) -> Error {
    Error::Refused(error.to_string())
}
