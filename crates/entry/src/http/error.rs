use actix_web::{HttpResponse, ResponseError, http::StatusCode};
use serde::Serialize;

use crate::call::MAX_TASKS;

/// Why a request is refused before any of it starts.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("the body can't be read: {0}")]
    Malformed(String),
    #[error("the body is too large: split the job, or ask the operator for more body_bytes")]
    TooLarge,
    #[error("the body came too slowly: send it within 10 s")]
    SlowBody,
    #[error("there is no service {0}; ask the operator which services there are")]
    UnknownService(String),
    #[error("team {0} may not call this service; ask the operator to add it")]
    UnknownTeam(String),
    #[error("the deadline has passed: give a deadline_ms of at least 1")]
    DeadlinePassed,
    #[error(
        "the key is older than keys are kept ({0} ms) and may have run: a new one may run twice"
    )]
    KeyExpired(u64),
    #[error("the job has {0} tasks: send 1 to {MAX_TASKS}, and split a larger job")]
    TaskCount(usize),
    #[error("{field} {why}")]
    Field { field: &'static str, why: &'static str },
    #[error("there is no {0}; docs/CALLERS.md lists what can be asked")]
    UnknownPath(String),
    #[error("{0} is not to be had with this method; docs/CALLERS.md lists what can be asked")]
    WrongMethod(String),
    #[error("the fleet token is missing or wrong: send it in the egret-token header")]
    WrongToken,
    #[error("no agent {0} has greeted this entry; list them with `egretctl agents`")]
    UnknownAgent(String),
    #[error("the agent can't be told: {0}; ask again, or through another entry")]
    Agent(String),
    #[error(transparent)]
    Call(#[from] crate::call::Error),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Response extension that marks a refusal, for the metrics.
#[derive(Clone, Copy, Debug)]
pub struct RefusalCode(pub &'static str);

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
    pub fn code(&self) -> &'static str {
        match self {
            Error::Malformed(_) => "malformed",
            Error::TooLarge => "too-large",
            Error::SlowBody => "slow-body",
            Error::UnknownService(_) => "unknown-service",
            Error::UnknownTeam(_) => "unknown-team",
            Error::DeadlinePassed => "deadline-passed",
            Error::KeyExpired(_) => "key-expired",
            Error::TaskCount(_) => "task-count",
            Error::Field { .. } => "bad-field",
            Error::UnknownPath(_) => "unknown-path",
            Error::WrongMethod(_) => "wrong-method",
            Error::WrongToken => "wrong-token",
            Error::UnknownAgent(_) => "unknown-agent",
            Error::Agent(_) => "agent-unreachable",
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
            Error::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Error::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Error::UnknownService(_) | Error::UnknownPath(_) | Error::UnknownAgent(_) => {
                StatusCode::NOT_FOUND
            }
            Error::WrongMethod(_) => StatusCode::METHOD_NOT_ALLOWED,
            Error::WrongToken => StatusCode::UNAUTHORIZED,
            Error::Agent(_) => StatusCode::BAD_GATEWAY,
            Error::UnknownTeam(_) => StatusCode::FORBIDDEN,
            Error::KeyExpired(_) => StatusCode::GONE,
            Error::TaskCount(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Error::Call(crate::call::Error::Conflict) => StatusCode::CONFLICT,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let detail = Detail { code: self.code(), message: self.to_string() };
        let mut res = HttpResponse::build(self.status_code()).json(Body { error: detail });
        res.extensions_mut().insert(RefusalCode(self.code()));
        res
    }
}

impl From<serde_json::Error> for Error {
    fn from(e: serde_json::Error) -> Self {
        Error::Malformed(e.to_string())
    }
}

pub fn bad_field<T>(field: &'static str, why: &'static str) -> Result<T> {
    Err(Error::Field { field, why })
}
