use std::time::{Duration, Instant};

use actix_web::{HttpRequest, web::Bytes};
use base::{Digest, MAX_KEY_BYTES, Name, Outcome, Task, TaskId, now_ms};
use burn::Count;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use uuid::Uuid;

use super::error::{Error, Result, bad_field};
use crate::{app::SharedState, metrics::SubmissionKind};

const MAX_DEADLINE: Duration = Duration::from_secs(600);
const KEY_HEADER: &str = "idempotency-key";

/// What a request and a job have in common.
pub struct Submission {
    pub service: Name,
    pub team: Name,
    pub key: Name,
    pub keyed: bool,
    pub issued: Option<u64>,
    pub received: Instant,
    pub deadline: Instant,
    pub repeatable: bool,
    /// when the call was taken, unix milliseconds
    pub started: u64,
    /// tasks of the submission
    pub count: u32,
}

/// The same as the caller writes it.
pub struct SubmissionParams {
    pub team: Name,
    pub key: Option<Name>,
    pub issued_ms: Option<u64>,
    pub deadline_ms: Option<u64>,
    pub repeatable: bool,
    /// tasks of the submission
    pub count: usize,
}

/// One task as the caller writes it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    #[serde(default = "default_operation")]
    pub operation: Name,
    pub size_ms: Option<u64>,
    pub body: Box<RawValue>,
}

impl Submission {
    /// Checks what the caller asks against the fleet configuration.
    pub fn validate(
        shared: &SharedState,
        http: &HttpRequest,
        service: &str,
        asked: SubmissionParams,
    ) -> Result<Self> {
        let service = check_team(shared, service, &asked.team)?;
        let given = read_key(http, asked.key)?;
        let default_ms = shared.fleet.get().fleet.effective(&service).deadline_ms;
        let deadline = check_deadline(asked.deadline_ms.unwrap_or(default_ms))?;
        let received = Instant::now();
        let keyed = given.is_some();
        let key = given.unwrap_or_else(|| Uuid::now_v7().to_string().into());
        let issued = asked.issued_ms.or_else(|| issue_time(&key));
        let started = now_ms();
        if keyed {
            check_issued(shared, issued, started)?;
        }
        Ok(Self {
            service,
            team: asked.team,
            key,
            keyed,
            issued,
            received,
            deadline: received + deadline,
            repeatable: asked.repeatable,
            started,
            count: asked.count as u32,
        })
    }

    /// The task of a request.
    ///
    /// # Errors
    /// When its operation can't go into a header.
    pub fn request_task(&self, task: TaskBody) -> Result<Task> {
        let task = self.task(0, task)?;
        Ok(Task { digest: Digest::of_submission([task.digest].into_iter()), ..task })
    }

    /// The tasks of a job, in order; each carries the digest of the whole job.
    ///
    /// # Errors
    /// When an operation can't go into a header.
    pub fn job_tasks(&self, job_tasks: Vec<TaskBody>) -> Result<Vec<Task>> {
        let tasks = (0..).zip(job_tasks).map(|(i, task)| self.task(i, task));
        let mut tasks = tasks.collect::<Result<Vec<_>>>()?;
        let digest = Digest::of_submission(tasks.iter().map(|task| task.digest));
        tasks.iter_mut().for_each(|task| task.digest = digest);
        Ok(tasks)
    }

    fn task(&self, index: u32, task: TaskBody) -> Result<Task> {
        if !is_plain(&task.operation) {
            return bad_field("operation", "must be 1 to 128 printable ASCII characters");
        }
        let body = Bytes::from(Box::<str>::from(task.body).into_string());
        Ok(Task {
            id: TaskId::new(self.team.clone(), self.key.clone(), index),
            service: self.service.clone(),
            digest: Digest::new(&task.operation, &body),
            operation: task.operation,
            issued_ms: self.issued,
            deadline: self.deadline,
            keyed: self.keyed,
            repeatable: self.repeatable,
            declared_time: task.size_ms.map(Duration::from_millis),
            received_ms: self.started,
            task_count: self.count,
            body,
        })
    }
}

impl SharedState {
    /// Counts the final answer to a submission.
    pub fn record_answer(&self, terms: &Submission, kind: SubmissionKind, outcome: Outcome) {
        self.metrics.record_answer(&terms.service, kind, outcome, terms.received.elapsed());
        let left = terms.deadline.checked_duration_since(Instant::now());
        self.counts.add(&terms.service, Count::of(outcome, left));
    }
}

/// Reads a JSON body.
pub fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T> {
    Ok(serde_json::from_slice(body)?)
}

fn read_key(http: &HttpRequest, in_body: Option<Name>) -> Result<Option<Name>> {
    let header = match http.headers().get(KEY_HEADER).map(|v| v.to_str()) {
        None => None,
        Some(Ok(key)) => Some(Name::from(key)),
        Some(Err(_)) => return bad_field("Idempotency-Key", "must be plain ASCII"),
    };
    if let (Some(a), Some(b)) = (&header, &in_body)
        && a != b
    {
        return bad_field("key", "differs from the Idempotency-Key header");
    }
    let key = header.or(in_body);
    match &key {
        Some(key) if key.is_empty() => bad_field("key", "is empty: leave it out or fill it"),
        Some(key) if !is_plain(key) => {
            bad_field("key", "must be 1 to 128 printable ASCII characters")
        }
        _ => Ok(key),
    }
}

fn check_deadline(asked_ms: u64) -> Result<Duration> {
    let deadline = Duration::from_millis(asked_ms);
    if deadline.is_zero() {
        return Err(Error::DeadlinePassed);
    }
    if deadline > MAX_DEADLINE {
        return bad_field("deadline_ms", "is more than 600000, ten minutes");
    }
    Ok(deadline)
}

/// The service, if the team may call it.
pub fn check_team(shared: &SharedState, service: &str, team: &Name) -> Result<Name> {
    let snapshot = shared.fleet.get();
    let Some((service, known)) = snapshot.fleet.services.get_key_value(service) else {
        return Err(Error::UnknownService(service.to_owned()));
    };
    if !known.teams.contains_key(team) {
        return Err(Error::UnknownTeam(team.to_string()));
    }
    Ok(service.clone())
}

/// Agents remember a key for the retention only, and trust issue times only
/// as far as clocks can be.
pub fn check_issued(shared: &SharedState, issued: Option<u64>, now: u64) -> Result<()> {
    let Some(issued) = issued else { return Ok(()) };
    let settings = &shared.settings;
    if issued > now.saturating_add(settings.skew_ms) {
        return bad_field("issued_ms", "lies in the future: check the clock");
    }
    if issued.saturating_add(settings.retention_ms) <= now.saturating_add(settings.skew_ms) {
        return Err(Error::KeyExpired(settings.retention_ms));
    }
    Ok(())
}

/// Whether a text can be a header's value as it is.
fn is_plain(text: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(|b| (b' '..=b'~').contains(&b))
}

/// Unix milliseconds at which a UUIDv7 key was made.
pub fn issue_time(key: &str) -> Option<u64> {
    let uuid = Uuid::parse_str(key).ok()?;
    let time = uuid.get_timestamp().filter(|_| uuid.get_version_num() == 7)?;
    let (seconds, nanos) = time.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}

pub fn default_operation() -> Name {
    "default".into()
}
