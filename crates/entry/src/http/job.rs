use std::time::Duration;

use actix_web::{
    HttpRequest, HttpResponse,
    web::{Bytes, Data, Path},
};
use base::{Answer, Name, Outcome, invariant};
use serde::Deserialize;

use super::{
    answer::{AnswerBody, Content, respond},
    body::Body,
    error::{Error, Result},
    submission::{Submission, SubmissionParams, TaskBody, parse},
};
use crate::{
    app::SharedState,
    call::{Dispatcher, MAX_TASKS},
    metrics::SubmissionKind,
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody {
    team: Name,
    key: Option<Name>,
    issued_ms: Option<u64>,
    deadline_ms: Option<u64>,
    #[serde(default)]
    repeatable: bool,
    tasks: Vec<TaskBody>,
}

/// Runs a job of many tasks and responds with one answer.
pub async fn submit(
    shared: Data<SharedState>,
    dispatcher: Data<Dispatcher>,
    service: Path<String>,
    http: HttpRequest,
    body: Body,
) -> Result<HttpResponse> {
    let job: JobBody = parse(&body.0)?;
    let count = job.tasks.len();
    if count == 0 || count > MAX_TASKS as usize {
        return Err(Error::TaskCount(count));
    }
    let params = SubmissionParams {
        team: job.team,
        key: job.key,
        issued_ms: job.issued_ms,
        deadline_ms: job.deadline_ms,
        repeatable: job.repeatable,
        task_count: count,
    };
    let submission = Submission::validate(&shared, &http, &service, params)?;
    let tasks = submission.job_tasks(job.tasks)?;
    dispatcher.check_key(&tasks[0]).await?;
    let in_flight = shared.metrics.track_in_flight(&submission.service);
    let answers = dispatcher.run_all(tasks).await?;
    drop(in_flight);
    invariant!(answers.len() == count, "{} answers to {count} tasks", answers.len());
    let combined = combine(&answers);
    shared.record_answer(&submission, SubmissionKind::Job, combined.outcome);
    let mut body = AnswerBody::new(&submission.key, &combined);
    if combined.outcome == Outcome::Done {
        body.answers = Some(answers.iter().map(|a| Content::new(&a.body)).collect());
    }
    Ok(respond(&combined, &body))
}

/// The one answer to a job: done only when every task is; results are never
/// partial.
fn combine(answers: &[Answer]) -> Answer {
    let count = |outcome| answers.iter().filter(|a| a.outcome == outcome).count();
    let total = answers.len();
    let failed = count(Outcome::Failed);
    let not_run = count(Outcome::NotRun);
    if count(Outcome::Done) == total {
        return Answer::done(Bytes::new(), Duration::ZERO, "".into());
    }
    if failed > 0 {
        let reason =
            format!("{failed} of {total} tasks failed: {}", first_reason(answers, Outcome::Failed));
        return Answer::failed(&reason, Bytes::new(), Duration::ZERO, "".into());
    }
    if not_run == total {
        let retry_after = answers.iter().map(|a| a.retry_after).max().unwrap_or_default();
        return Answer::not_run(first_reason(answers, Outcome::NotRun), retry_after);
    }
    let unclear = total - count(Outcome::Done);
    Answer::unknown(&format!(
        "{unclear} of {total} tasks have no answer yet: send the same key again"
    ))
}

fn first_reason(answers: &[Answer], outcome: Outcome) -> &str {
    answers.iter().find(|a| a.outcome == outcome).map_or("", |a| &a.reason)
}
