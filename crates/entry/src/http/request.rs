use actix_web::{
    HttpRequest, HttpResponse,
    web::{Data, Path},
};
use base::Name;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::{
    answer::{AnswerBody, respond},
    body::Body,
    error::Result,
    submission::{Submission, SubmissionParams, TaskBody, default_operation, parse},
};
use crate::{app::SharedState, call::Dispatcher, metrics::SubmissionKind};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestBody {
    team: Name,
    key: Option<Name>,
    issued_ms: Option<u64>,
    deadline_ms: Option<u64>,
    #[serde(default)]
    repeatable: bool,
    #[serde(default = "default_operation")]
    operation: Name,
    size_ms: Option<u64>,
    body: Box<RawValue>,
}

/// Runs one request and responds with its answer.
pub async fn submit(
    shared: Data<SharedState>,
    dispatcher: Data<Dispatcher>,
    service: Path<String>,
    http: HttpRequest,
    body: Body,
) -> Result<HttpResponse> {
    let req: RequestBody = parse(&body.0)?;
    let params = SubmissionParams {
        team: req.team,
        key: req.key,
        issued_ms: req.issued_ms,
        deadline_ms: req.deadline_ms,
        repeatable: req.repeatable,
        task_count: 1,
    };
    let submission = Submission::validate(&shared, &http, &service, params)?;
    let task = TaskBody { operation: req.operation, size_ms: req.size_ms, body: req.body };
    let in_flight = shared.metrics.track_in_flight(&submission.service);
    let answer = dispatcher.run(submission.request_task(task)?).await?;
    drop(in_flight);
    shared.record_answer(&submission, SubmissionKind::Request, answer.outcome);
    Ok(respond(&answer, &AnswerBody::new(&submission.key, &answer)))
}
