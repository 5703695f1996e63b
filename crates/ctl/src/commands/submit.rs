use std::{
    fs,
    process::ExitCode,
    time::{Duration, Instant},
};

use tokio::time::interval;

use crate::{
    Error, Result,
    client::{Entry, Reply},
};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Exit code if the outcome is not `done`.
const NOT_DONE: u8 = 3;

/// What a file is submitted as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionKind {
    Request,
    Job,
}

impl SubmissionKind {
    fn path(self) -> &'static str {
        match self {
            SubmissionKind::Request => "request",
            SubmissionKind::Job => "job",
        }
    }
}

/// Submits a file to an entry and prints the reply. Reports progress on
/// standard error while it waits.
pub async fn submit(
    entry: &Entry,
    service: &str,
    kind: SubmissionKind,
    file: &str,
) -> Result<ExitCode> {
    let text =
        fs::read_to_string(file).map_err(|error| Error::File { path: file.to_owned(), error })?;
    let path = format!("/v1/{service}/{}", kind.path());
    let label = format!("{} {file}", kind.path());
    tokio::select! {
        reply = entry.post_text(&path, text) => print_reply(&reply?),
        never = report_progress(&label) => never,
    }
}

/// Prints the body of a reply. The exit code tells whether it is a success.
pub fn print_reply(reply: &Reply) -> Result<ExitCode> {
    println!("{}", reply.body);
    if reply.status.is_success() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(NOT_DONE))
}

async fn report_progress(label: &str) -> Result<ExitCode> {
    let start = Instant::now();
    let mut ticks = interval(PROGRESS_INTERVAL);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        eprintln!("{label}: sent, no answer yet after {} s", start.elapsed().as_secs());
    }
}
