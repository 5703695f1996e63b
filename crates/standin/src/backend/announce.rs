use std::time::Duration;

use awc::Client;
use serde::Serialize;
use tokio::time::sleep;

const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Announcement<'a> {
    url: &'a str,
    incarnation: u64,
}

#[derive(Serialize)]
struct LeaveBody {
    incarnation: u64,
}

/// Announces the server to its agent and renews the announcement until aborted.
pub async fn keep_announcing(agent: String, url: String, incarnation: u64) {
    let client = Client::builder().timeout(REPLY_TIMEOUT).finish();
    loop {
        let body = Announcement { url: &url, incarnation };
        // the agent may start later and gets the next renewal
        let _ = client.post(format!("{agent}/announce")).send_json(&body).await;
        sleep(RENEWAL_INTERVAL).await;
    }
}

/// Tells the agent that the server accepts no new work.
pub async fn leave(agent: &str, incarnation: u64) {
    let client = Client::builder().timeout(REPLY_TIMEOUT).finish();
    let _ = client.post(format!("{agent}/leave")).send_json(&LeaveBody { incarnation }).await;
}
