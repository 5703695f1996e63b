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
    call::{Dispatcher, Key, KeyState, KeyStatus},
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

/// Tasks of a key by state.
#[derive(Default, Serialize)]
#[serde(rename_all = "kebab-case")]
struct Counts {
    unseen: usize,
    queued: usize,
    running: usize,
    done: usize,
    failed: usize,
    not_run: usize,
    unknown: usize,
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
    let counts = count(&key_status.tasks);
    let reason = key_status.tasks.iter().find_map(|state| match state {
        KeyState::Unknown(reason) => Some(&**reason),
        KeyState::Finished(answer) if answer.outcome != Outcome::Done => Some(&*answer.reason),
        _ => None,
    });
    let state = overall_state(&counts, key_status.tasks.len());
    HttpResponse::Ok().json(Status { key: &key.key, state, counts, reason })
}

fn count(tasks: &[KeyState]) -> Counts {
    let mut counts = Counts::default();
    for state in tasks {
        let counter = match state {
            KeyState::Unseen => &mut counts.unseen,
            KeyState::Queued => &mut counts.queued,
            KeyState::Running => &mut counts.running,
            KeyState::NotRun => &mut counts.not_run,
            KeyState::Unknown(_) => &mut counts.unknown,
            KeyState::Finished(answer) => match answer.outcome {
                Outcome::Done => &mut counts.done,
                Outcome::Failed => &mut counts.failed,
                Outcome::NotRun => &mut counts.unseen,
                Outcome::Unknown => &mut counts.unknown,
            },
        };
        *counter += 1;
    }
    counts
}

/// State of the whole key; states that decide its answer take precedence.
fn overall_state(counts: &Counts, total: usize) -> &'static str {
    let Counts { unseen, queued, running, done, failed, not_run, unknown } = *counts;
    if failed > 0 {
        return "failed";
    }
    if unknown > 0 {
        return "unknown";
    }
    if done == total {
        return "done";
    }
    if not_run == total {
        return "not-run";
    }
    if unseen == total {
        return "unseen";
    }
    if running + done > 0 {
        return "running";
    }
    if queued > 0 { "queued" } else { "not-run" }
}
