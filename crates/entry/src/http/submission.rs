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

/// Validated parameters that requests and jobs have in common.
pub struct Submission {
    pub service: Name,
    pub team: Name,
    pub key: Name,
    pub keyed: bool,
    pub issued_ms: Option<u64>,
    pub received_at: Instant,
    pub deadline: Instant,
    pub repeatable: bool,
    /// when the entry received the call, unix milliseconds
    pub received_ms: u64,
    pub task_count: u32,
}

/// The same parameters as the caller sent them.
pub struct SubmissionParams {
    pub team: Name,
    pub key: Option<Name>,
    pub issued_ms: Option<u64>,
    pub deadline_ms: Option<u64>,
    pub repeatable: bool,
    pub task_count: usize,
}

/// One task as the caller sent it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    #[serde(default = "default_operation")]
    pub operation: Name,
    pub size_ms: Option<u64>,
    pub body: Box<RawValue>,
}

impl Submission {
    /// Validates parameters against the fleet configuration.
    pub fn validate(
        shared: &SharedState,
        http: &HttpRequest,
        service: &str,
        params: SubmissionParams,
    ) -> Result<Self> {
        let service = check_team(shared, service, &params.team)?;
        let key_from_caller = read_key(http, params.key)?;
        let default_ms = shared.fleet.get().fleet.effective(&service).deadline_ms;
        let deadline = check_deadline(params.deadline_ms.unwrap_or(default_ms))?;
        let received_at = Instant::now();
        let keyed = key_from_caller.is_some();
        let key = key_from_caller.unwrap_or_else(|| Uuid::now_v7().to_string().into());
        let issued_ms = params.issued_ms.or_else(|| issue_time(&key));
        let received_ms = now_ms();
        if keyed {
            check_issued(shared, issued_ms, received_ms)?;
        }
        Ok(Self {
            service,
            team: params.team,
            key,
            keyed,
            issued_ms,
            received_at,
            deadline: received_at + deadline,
            repeatable: params.repeatable,
            received_ms,
            task_count: params.task_count as u32,
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
    pub fn job_tasks(&self, tasks: Vec<TaskBody>) -> Result<Vec<Task>> {
        let tasks = (0..).zip(tasks).map(|(i, task)| self.task(i, task));
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
            issued_ms: self.issued_ms,
            deadline: self.deadline,
            keyed: self.keyed,
            repeatable: self.repeatable,
            declared_time: task.size_ms.map(Duration::from_millis),
            received_ms: self.received_ms,
            task_count: self.task_count,
            body,
        })
    }
}

impl SharedState {
    /// Records the final answer to a submission in the metrics and the burn counts.
    pub fn record_answer(&self, submission: &Submission, kind: SubmissionKind, outcome: Outcome) {
        self.metrics.record_answer(
            &submission.service,
            kind,
            outcome,
            submission.received_at.elapsed(),
        );
        let time_left = submission.deadline.checked_duration_since(Instant::now());
        self.counts.add(&submission.service, Count::of(outcome, time_left));
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

/// Refuses issue times that lie in the future or beyond the time for which agents
/// remember a key, in both cases allowing for clock skew.
pub fn check_issued(shared: &SharedState, issued_ms: Option<u64>, now: u64) -> Result<()> {
    let Some(issued) = issued_ms else { return Ok(()) };
    let settings = &shared.settings;
    if issued > now.saturating_add(settings.skew_ms) {
        return bad_field("issued_ms", "lies in the future: check the clock");
    }
    if issued.saturating_add(settings.retention_ms) <= now.saturating_add(settings.skew_ms) {
        return Err(Error::KeyExpired(settings.retention_ms));
    }
    Ok(())
}

/// Whether a text can be the value of a header without encoding.
fn is_plain(text: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(|b| (b' '..=b'~').contains(&b))
}

/// Unix milliseconds at which a UUIDv7 key was created.
pub fn issue_time(key: &str) -> Option<u64> {
    let uuid = Uuid::parse_str(key).ok()?;
    let time = uuid.get_timestamp().filter(|_| uuid.get_version_num() == 7)?;
    let (seconds, nanos) = time.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}

pub fn default_operation() -> Name {
    "default".into()
}
