use std::fmt;

use actix_web::{HttpResponse, ResponseError, http::StatusCode};
use serde::Serialize;

/// A request that is refused before anything of it starts.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("the body can't be read: {0}")]
    Malformed(String),
    #[error("the body is too large: {0}")]
    TooLarge(String),
    #[error("there is no service {0}; ask the operator which services there are")]
    UnknownService(String),
    #[error("team {0} may not call this service; ask the operator to add it")]
    UnknownTeam(String),
    #[error("the deadline has passed: give a deadline_ms of at least 1")]
    DeadlinePassed,
    #[error("the key was issued more than {0} ms ago and is no longer remembered: use a new key")]
    KeyExpired(u64),
    #[error("the job has {0} tasks: send 1 to {MAX_TASKS}, and split a larger job")]
    TaskCount(usize),
    #[error("{field} {why}")]
    Field { field: &'static str, why: &'static str },
    #[error(transparent)]
    Call(#[from] crate::call::Error),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Most tasks of one job.
pub const MAX_TASKS: usize = 750;

#[derive(Serialize)]
struct Body<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    code: &'a str,
    message: String,
}

impl Error {
    fn code(&self) -> &'static str {
        match self {
            Error::Malformed(_) => "malformed",
            Error::TooLarge(_) => "too-large",
            Error::UnknownService(_) => "unknown-service",
            Error::UnknownTeam(_) => "unknown-team",
            Error::DeadlinePassed => "deadline-passed",
            Error::KeyExpired(_) => "key-expired",
            Error::TaskCount(_) => "task-count",
            Error::Field { .. } => "bad-field",
            Error::Call(crate::call::Error::Conflict) => "key-conflict",
        }
    }
}

impl ResponseError for Error {
    fn status_code(&self) -> StatusCode {
        match self {
            Error::Malformed(_) | Error::DeadlinePassed | Error::Field { .. } => {
                StatusCode::BAD_REQUEST
            }
            Error::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Error::UnknownService(_) => StatusCode::NOT_FOUND,
            Error::UnknownTeam(_) => StatusCode::FORBIDDEN,
            Error::KeyExpired(_) => StatusCode::GONE,
            Error::TaskCount(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Error::Call(crate::call::Error::Conflict) => StatusCode::CONFLICT,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let detail = Detail { code: self.code(), message: self.to_string() };
        HttpResponse::build(self.status_code()).json(Body { error: detail })
    }
}

impl From<actix_web::error::PayloadError> for Error {
    fn from(e: actix_web::error::PayloadError) -> Self {
        match e {
            actix_web::error::PayloadError::Overflow => Error::TooLarge(e.to_string()),
            e => Error::Malformed(e.to_string()),
        }
    }
}

impl From<serde_json::Error> for Error {
    fn from(e: serde_json::Error) -> Self {
        Error::Malformed(e.to_string())
    }
}

/// Helps to tell which field is wrong.
pub fn bad_field<T>(field: &'static str, why: &'static str) -> Result<T> {
    Err(Error::Field { field, why })
}

impl fmt::Display for Detail<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}
