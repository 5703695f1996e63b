use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use awc::{Client, Connector};
use base::now_ms;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::{sleep, timeout};

use super::{
    arrival::Arrival,
    sample::{Outcome, Sample},
    workload::Workload,
};
use crate::backend::Work;

/// How long past its deadline a caller waits for an answer.
pub const ANSWER_GRACE: Duration = Duration::from_secs(5);
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Sends requests and jobs to entries, and reads their answers.
pub struct Caller {
    workload: Rc<Workload>,
    entries: Vec<String>,
    client: Client,
    /// part of every key, so that the keys of runs differ
    run: u64,
}

#[derive(Serialize)]
struct Submission<'a> {
    team: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    issued_ms: Option<u64>,
    deadline_ms: u64,
    repeatable: bool,
    #[serde(flatten)]
    what: SubmissionBody<'a>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum SubmissionBody<'a> {
    Request(TaskBody<'a>),
    Job { tasks: Vec<TaskBody<'a>> },
}

#[derive(Serialize)]
struct TaskBody<'a> {
    operation: &'a str,
    size_ms: u64,
    body: Work,
}

#[derive(Serialize)]
struct CancelBody<'a> {
    team: &'a str,
    key: &'a str,
}

#[derive(Deserialize)]
struct AnswerBody {
    outcome: Option<String>,
    answer: Option<Value>,
    answers: Option<Vec<Value>>,
    #[serde(default)]
    retry_after_ms: f64,
}

struct Reply {
    ended: Outcome,
    ran: Vec<f64>,
    retry_ms: f64,
}

impl Caller {
    pub fn new(workload: Rc<Workload>, entries: Vec<String>) -> Self {
        let connector = Connector::new().limit(0).conn_keep_alive(IDLE_TIMEOUT);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        Self { workload, entries, client, run: now_ms() }
    }

    /// Sends one arrival and waits for its answer.
    pub async fn send(&self, number: usize, arrival: &Arrival, start: Instant) -> Sample {
        let intended = start + arrival.at;
        let lag = intended.elapsed();
        let class = &self.workload.classes[arrival.class];
        let deadline = Duration::from_millis(class.deadline_ms);
        let delay = Duration::from_secs_f64(self.workload.delay_ms / 1e3);
        pause(delay).await;
        let left = deadline.saturating_sub(intended.elapsed());
        let cancel = self.workload.cancel.as_ref().filter(|c| c.class == class.name);
        let reply = if left.is_zero() {
            Reply::without_answer(Outcome::Cut)
        } else {
            let call = timeout(left + ANSWER_GRACE, self.post(number, arrival, left));
            let cancel = self.cancel(number, arrival, cancel.map(|c| c.after_ms));
            let (reply, ()) = futures::join!(call, cancel);
            reply.unwrap_or(Reply::without_answer(Outcome::Silent))
        };
        pause(delay).await;
        Sample {
            class: arrival.class,
            team: arrival.team,
            at: arrival.at.as_secs_f64(),
            lag_ms: lag.as_secs_f64() * 1e3,
            response_ms: intended.elapsed().as_secs_f64() * 1e3,
            deadline_ms: class.deadline_ms as f64,
            ended: reply.ended,
            cancelled: cancel.is_some(),
            ran_ms: longest(&reply.ran),
            work_ms: reply.ran.iter().sum(),
            asked_ms: longest(&arrival.run_ms),
            asked_work_ms: arrival.run_ms.iter().sum(),
            retry_ms: reply.retry_ms,
        }
    }

    async fn post(&self, number: usize, arrival: &Arrival, left: Duration) -> Reply {
        let class = &self.workload.classes[arrival.class];
        let key = self.key(number);
        let what = if class.tasks > 0 {
            let tasks = arrival.run_ms.iter().map(|ms| self.task(arrival, *ms)).collect();
            SubmissionBody::Job { tasks }
        } else {
            SubmissionBody::Request(self.task(arrival, arrival.run_ms[0]))
        };
        let body = Submission {
            team: &self.workload.teams[arrival.team].name,
            key: arrival.keyed.then_some(&*key),
            issued_ms: arrival.keyed.then(now_ms),
            deadline_ms: (left.as_millis() as u64).max(1),
            repeatable: arrival.repeatable,
            what,
        };
        let path = if class.tasks > 0 { "job" } else { "request" };
        let Ok(mut res) = self.client.post(self.url(number, path)).send_json(&body).await else {
            return Reply::without_answer(Outcome::Cut);
        };
        let Ok(body) = res.body().limit(MAX_ANSWER_BYTES).await else {
            return Reply::without_answer(Outcome::Cut);
        };
        Reply::read(&body)
    }

    /// Cancels the key after `after_ms`, if set.
    async fn cancel(&self, number: usize, arrival: &Arrival, after_ms: Option<u64>) {
        let Some(after_ms) = after_ms else { return };
        sleep(Duration::from_millis(after_ms)).await;
        let key = self.key(number);
        let team = &self.workload.teams[arrival.team].name;
        let body = CancelBody { team, key: &key };
        // the answer to the request itself tells the outcome
        let _ = self.client.post(self.url(number, "cancel")).send_json(&body).await;
    }

    fn task(&self, arrival: &Arrival, run_ms: f64) -> TaskBody<'_> {
        TaskBody {
            operation: &self.workload.classes[arrival.class].name,
            size_ms: arrival.declared_ms,
            body: Work { run_ms, ..Work::default() },
        }
    }

    fn key(&self, number: usize) -> String {
        format!("load-{}-{}-{number}", self.workload.seed, self.run)
    }

    fn url(&self, number: usize, path: &str) -> String {
        let entry = &self.entries[number % self.entries.len()];
        format!("{entry}/v1/{}/{path}", self.workload.service)
    }
}

impl Reply {
    fn without_answer(ended: Outcome) -> Self {
        Self { ended, ran: Vec::new(), retry_ms: 0.0 }
    }

    fn read(body: &[u8]) -> Self {
        let Ok(answer) = serde_json::from_slice::<AnswerBody>(body) else {
            return Self::without_answer(Outcome::Refused);
        };
        let ran = answer.answers.into_iter().flatten().chain(answer.answer);
        Self {
            ended: Outcome::from_name(answer.outcome.as_deref().unwrap_or_default()),
            ran: ran.filter_map(|r| r.get("ran_ms")?.as_f64()).collect(),
            retry_ms: answer.retry_after_ms,
        }
    }
}

async fn pause(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}

fn longest(times: &[f64]) -> f64 {
    times.iter().copied().fold(0.0, f64::max)
}
