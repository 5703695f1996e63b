use std::time::{Duration, Instant};

use base::{Answer, Name, Task};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client, Error, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::time::timeout;

/// Longest run of a task; after it, the outcome is unknown.
const RUN_TIMEOUT: Duration = Duration::from_secs(120);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Shorter than the idle timeout of backend servers, so that no request is sent
/// over a connection that is just being closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 4 << 20;
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// HTTP client of the backend server of this agent.
#[derive(Clone)]
pub struct Backend {
    client: Client<HttpConnector, Full<Bytes>>,
    agent: Name,
}

impl Backend {
    pub fn new(connections: u32, agent: Name) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(connections as usize)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { client, agent }
    }

    /// Returns a client of the same backend server with another number of connections.
    pub fn resized(&self, connections: u32) -> Self {
        Self::new(connections, self.agent.clone())
    }

    /// Runs a task to its end. The outcome is `not-run` only if no request was
    /// sent to the backend server.
    pub async fn run(self, url: String, task: Task) -> Answer {
        let start = Instant::now();
        let req = match request(&url, task) {
            Ok(req) => req,
            Err(e) => return Answer::not_run(&format!("no request can be made: {e}"), RETRY_AFTER),
        };
        match timeout(RUN_TIMEOUT, self.call(req, start)).await {
            Ok(answer) => answer,
            Err(_) => self.unknown("backend server gave no answer in time", start),
        }
    }

    async fn call(&self, req: Request<Full<Bytes>>, start: Instant) -> Answer {
        let res = match self.client.request(req).await {
            Ok(res) => res,
            Err(e) => return self.unanswered(&e, start),
        };
        let status = res.status();
        let body = match whole_body(res).await {
            Ok(body) => body,
            Err(e) => {
                let reason = format!("answer of the backend server was cut short: {e}");
                return self.failed(&reason, Bytes::new(), start);
            }
        };
        if status.is_success() {
            return Answer::done(body, start.elapsed(), self.agent.clone());
        }
        self.failed(&format!("backend server answered {status}"), body, start)
    }

    fn unanswered(&self, error: &Error, start: Instant) -> Answer {
        if error.is_connect() {
            return Answer::not_run("backend server can't be reached", RETRY_AFTER);
        }
        self.unknown(&format!("backend server gave no answer: {error}"), start)
    }

    fn unknown(&self, reason: &str, start: Instant) -> Answer {
        Answer { run_time: start.elapsed(), agent: self.agent.clone(), ..Answer::unknown(reason) }
    }

    fn failed(&self, reason: &str, body: Bytes, start: Instant) -> Answer {
        Answer::failed(reason, body, start.elapsed(), self.agent.clone())
    }
}

fn request(url: &str, task: Task) -> hyper::http::Result<Request<Full<Bytes>>> {
    Request::post(url)
        .header("content-type", "application/json")
        .header("idempotency-key", &*task.id.key)
        .header("egret-team", &*task.id.team)
        .header("egret-index", task.id.index.to_string())
        .header("egret-operation", &*task.operation)
        .body(Full::new(task.body))
}

/// Reads the body; fails if it ends before its stated length or last chunk.
async fn whole_body(
    res: Response<Incoming>,
) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
    let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES).collect().await?;
    // a copy, as a stored answer must not keep alive the whole read buffer
    Ok(Bytes::copy_from_slice(&body.to_bytes()))
}
