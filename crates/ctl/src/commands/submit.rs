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

/// How often a wait is reported.
const PROGRESS: Duration = Duration::from_secs(2);
/// Exit code when the answer is not `done`.
const NOT_DONE: u8 = 3;

/// What is submitted: decides the path at the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    Request,
    Job,
}

impl Work {
    fn path(self) -> &'static str {
        match self {
            Work::Request => "request",
            Work::Job => "job",
        }
    }
}

/// Submits a file to an entry and prints the answer; a long wait is reported
/// on standard error.
pub async fn submit(entry: &Entry, service: &str, work: Work, file: &str) -> Result<ExitCode> {
    let text =
        fs::read_to_string(file).map_err(|why| Error::File { path: file.to_owned(), why })?;
    let path = format!("/v1/{service}/{}", work.path());
    let what = format!("{} {file}", work.path());
    tokio::select! {
        reply = entry.post_text(&path, text) => print(&reply?),
        never = report(&what) => never,
    }
}

/// Prints an answer as it came; fails when it is no success.
pub fn print(reply: &Reply) -> Result<ExitCode> {
    println!("{}", reply.body);
    if reply.status.is_success() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(NOT_DONE))
}

async fn report(what: &str) -> Result<ExitCode> {
    let start = Instant::now();
    let mut ticks = interval(PROGRESS);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        eprintln!("{what}: sent, no answer yet after {} s", start.elapsed().as_secs());
    }
}
