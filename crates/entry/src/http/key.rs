use actix_web::{
    HttpResponse,
    web::{Bytes, Data, Path, Query},
};
use base::{Name, Outcome, now_ms};
use serde::{Deserialize, Serialize};

use super::{
    error::{Error, Result},
    submission::{check_issued, check_team, issue_time, parse},
};
use crate::{
    app::SharedState,
    call::{Counts, Dispatcher, Key, KeyState, KeyStatus},
};

// serde puts the name of the type into error messages that callers see
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Named {
    team: Name,
    key: Name,
    issued_ms: Option<u64>,
}

/// Response body with the progress of a key.
#[derive(Serialize)]
struct Status<'a> {
    key: &'a str,
    state: &'static str,
    counts: Counts,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
}

/// Responds with the progress of the tasks of a key.
pub async fn status(
    shared: Data<SharedState>,
    dispatcher: Data<Dispatcher>,
    service: Path<String>,
    params: Query<Named>,
) -> Result<HttpResponse> {
    let key = validate(&shared, &service, params.into_inner())?;
    let key_status = dispatcher.status(&key).await;
    Ok(respond(&key, &key_status))
}

/// Cancels the tasks of a key that have not started.
pub async fn cancel(
    shared: Data<SharedState>,
    dispatcher: Data<Dispatcher>,
    service: Path<String>,
    body: Bytes,
) -> Result<HttpResponse> {
    let key = validate(&shared, &service, parse(&body)?)?;
    let key_status = dispatcher.cancel(&key).await;
    Ok(respond(&key, &key_status))
}

fn validate(shared: &SharedState, service: &str, params: Named) -> Result<Key> {
    let service = check_team(shared, service, &params.team)?;
    if params.key.is_empty() {
        return Err(Error::Field { field: "key", why: "is empty: name the key" });
    }
    let issued_ms = params.issued_ms.or_else(|| issue_time(&params.key));
    check_issued(shared, issued_ms, now_ms())?;
    Ok(Key { service, team: params.team, key: params.key, issued_ms })
}

fn respond(key: &Key, key_status: &KeyStatus) -> HttpResponse {
    let reason = key_status.tasks.iter().find_map(|state| match state {
        KeyState::Unknown(reason) => Some(&**reason),
        KeyState::Finished(answer) if answer.outcome != Outcome::Done => Some(&*answer.reason),
        _ => None,
    });
    let (state, counts) = (key_status.state(), key_status.counts());
    HttpResponse::Ok().json(Status { key: &key.key, state, counts, reason })
}
