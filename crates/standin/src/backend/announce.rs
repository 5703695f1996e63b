use std::time::Duration;

use awc::Client;
use serde::Serialize;
use tokio::time::sleep;

const RENEW: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Announcement<'a> {
    url: &'a str,
    incarnation: u64,
}

#[derive(Serialize)]
struct Leaving {
    incarnation: u64,
}

/// Announces the server to its agent, and renews for as long as it runs.
pub async fn keep_announcing(agent: String, url: String, incarnation: u64) {
    let client = Client::builder().timeout(TIMEOUT).finish();
    loop {
        let body = Announcement { url: &url, incarnation };
        // the agent may come later; the next renewal tells it
        let _ = client.post(format!("{agent}/announce")).send_json(&body).await;
        sleep(RENEW).await;
    }
}

/// Tells the agent that the server takes no new work.
pub async fn leave(agent: &str, incarnation: u64) {
    let client = Client::builder().timeout(TIMEOUT).finish();
    let _ = client.post(format!("{agent}/leave")).send_json(&Leaving { incarnation }).await;
}
