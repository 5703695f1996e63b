use std::time::{Duration, Instant};

use awc::{
    Client, Connector,
    error::{ConnectError, SendRequestError},
};
use base::{Answer, Name, Task};
use bytes::Bytes;

/// Longest run of one task before its answer is given up.
const RUN_LIMIT: Duration = Duration::from_secs(120);
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Largest answer taken from a backend server, bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Calls to the backend server of this agent.
#[derive(Clone)]
pub struct Backend {
    client: Client,
    agent: Name,
}

impl Backend {
    pub fn new(connections: u32, agent: Name) -> Self {
        let connector = Connector::new().limit(connections as usize).timeout(CONNECT_LIMIT);
        let client = Client::builder().connector(connector).timeout(RUN_LIMIT).finish();
        Self { client, agent }
    }

    /// Runs a task to its end. The word `not-run` is only used when nothing
    /// was sent to the backend server.
    pub async fn run(self, url: String, task: Task) -> Answer {
        let start = Instant::now();
        let req = self
            .client
            .post(url)
            .insert_header(("content-type", "application/json"))
            .insert_header(("idempotency-key", &*task.id.key))
            .insert_header(("egret-team", &*task.id.team))
            .insert_header(("egret-index", task.id.index.to_string()))
            .insert_header(("egret-operation", &*task.operation));
        let mut res = match req.send_body(task.body).await {
            Ok(res) => res,
            Err(e) => return self.unsent(&e, start),
        };
        let body = match res.body().limit(MAX_ANSWER_BYTES).await {
            Ok(body) => body,
            Err(e) => {
                let reason = format!("answer of the backend server was cut short: {e}");
                return self.failed(&reason, Bytes::new(), start);
            }
        };
        if res.status().is_success() {
            return Answer::done(body, start.elapsed(), self.agent);
        }
        let reason = format!("backend server answered {}", res.status());
        self.failed(&reason, body, start)
    }

    fn unsent(self, error: &SendRequestError, start: Instant) -> Answer {
        match error {
            SendRequestError::Url(_)
            | SendRequestError::Connect(
                ConnectError::Io(_) | ConnectError::Timeout | ConnectError::Resolver(_),
            ) => Answer::not_run("backend server can't be reached", RETRY_AFTER),
            _ => Answer {
                ran: start.elapsed(),
                agent: self.agent,
                ..Answer::unknown(&format!("backend server gave no answer: {error}"))
            },
        }
    }

    fn failed(self, reason: &str, body: Bytes, start: Instant) -> Answer {
        Answer::failed(reason, body, start.elapsed(), self.agent)
    }
}
