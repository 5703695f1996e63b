use std::process::ExitCode;

use serde::Serialize;

use super::submit::print;
use crate::{Result, client::Entry};

#[derive(Serialize)]
struct Order<'a> {
    team: &'a str,
    key: &'a str,
}

/// Stops what has not started of a submission.
pub async fn cancel(entry: &Entry, service: &str, team: &str, key: &str) -> Result<ExitCode> {
    let reply = entry.post(&format!("/v1/{service}/cancel"), &Order { team, key }).await?;
    print(&reply)
}
