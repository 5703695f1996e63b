use std::process::ExitCode;

use serde::Serialize;

use super::submit::print_reply;
use crate::{Result, client::Entry};

#[derive(Serialize)]
struct CancelBody<'a> {
    team: &'a str,
    key: &'a str,
}

/// Cancels the tasks of a submission that have not started.
pub async fn cancel(entry: &Entry, service: &str, team: &str, key: &str) -> Result<ExitCode> {
    let reply = entry.post(&format!("/v1/{service}/cancel"), &CancelBody { team, key }).await?;
    print_reply(&reply)
}
