use std::{fs, process::ExitCode, time::Duration};

use awc::Client;

use crate::{Error, Result, client::Work};

const TIMEOUT: Duration = Duration::from_secs(610);
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Exit code when the answer is not `done`.
const NOT_DONE: u8 = 3;

/// Submits a file to an entry and prints the answer.
pub async fn submit(entry: &str, service: &str, work: Work, file: &str) -> Result<ExitCode> {
    let text =
        fs::read_to_string(file).map_err(|why| Error::File { path: file.to_owned(), why })?;
    let url = format!("{entry}/v1/{service}/{}", work.path());
    let client = Client::builder().timeout(TIMEOUT).finish();
    let sent = client.post(&url).content_type("application/json").send_body(text).await;
    let mut res = sent.map_err(|e| Error::Unreachable(url.clone(), e.to_string()))?;
    let body = res.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|e| Error::Unreachable(url, e.to_string()))?;
    println!("{}", String::from_utf8_lossy(&body));
    if res.status().is_success() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(NOT_DONE))
}
