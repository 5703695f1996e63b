use std::{borrow::Cow, time::Duration};

use actix_web::{HttpResponse, http::StatusCode};
use base::{Answer, Outcome};
use serde::Serialize;
use serde_json::value::RawValue;

/// Response body with a final answer.
#[derive(Serialize)]
pub struct AnswerBody<'a> {
    pub outcome: Outcome,
    pub key: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer: Option<Content<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answers: Option<Vec<Content<'a>>>,
    #[serde(skip_serializing_if = "str::is_empty")]
    pub reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ran_ms: Option<f64>,
    #[serde(skip_serializing_if = "str::is_empty")]
    pub agent: &'a str,
}

/// Body of a backend server's answer: JSON as it is, anything else as text.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Content<'a> {
    Json(&'a RawValue),
    Text(Cow<'a, str>),
}

impl<'a> Content<'a> {
    pub fn new(body: &'a [u8]) -> Self {
        match serde_json::from_slice(body) {
            Ok(json) => Content::Json(json),
            Err(_) => Content::Text(String::from_utf8_lossy(body)),
        }
    }
}

impl<'a> AnswerBody<'a> {
    pub fn new(key: &'a str, answer: &'a Answer) -> Self {
        Self {
            outcome: answer.outcome,
            key,
            answer: (!answer.body.is_empty()).then(|| Content::new(&answer.body)),
            answers: None,
            reason: &answer.reason,
            retry_after_ms: retry_ms(answer),
            ran_ms: (!answer.run_time.is_zero()).then_some(answer.run_time.as_secs_f64() * 1e3),
            agent: &answer.agent,
        }
    }
}

/// The HTTP response that carries a final answer.
pub fn respond(answer: &Answer, body: &AnswerBody<'_>) -> HttpResponse {
    let mut res = HttpResponse::build(status(answer.outcome));
    if answer.outcome == Outcome::NotRun {
        res.insert_header(("retry-after", whole_seconds(answer.retry_after).to_string()));
    }
    res.json(body)
}

fn status(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Done => StatusCode::OK,
        Outcome::Failed => StatusCode::BAD_GATEWAY,
        Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn retry_ms(answer: &Answer) -> Option<u64> {
    (answer.outcome == Outcome::NotRun).then_some(answer.retry_after.as_millis() as u64)
}

fn whole_seconds(after: Duration) -> u64 {
    after.as_millis().div_ceil(1000) as u64
}
