use std::{sync::atomic::Ordering, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    web::{Bytes, Data, Path},
};
use base::{Name, Token};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;
use wire::{AgentInfo, Load, Method, dial, read_load};

use super::{
    error::{Error, Result},
    submission::parse,
};
use crate::{app::SharedState, fleet::LastHeartbeat};

const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct EntryBody<'a> {
    name: &'a str,
    centre: &'a str,
    version: u64,
    ready: bool,
    agents: usize,
}

#[derive(Serialize)]
struct AgentBody {
    name: Name,
    service: Name,
    centre: Name,
    rack: Name,
    address: String,
    incarnation: u64,
    ready: bool,
    queued: u32,
    running: u32,
    slots: u32,
    version: u64,
    epoch: u64,
    unheard_ms: u64,
}

impl From<LastHeartbeat> for AgentBody {
    fn from(last: LastHeartbeat) -> Self {
        let info = last.info;
        Self {
            name: info.name,
            service: info.service,
            centre: info.centre,
            rack: info.rack,
            address: info.address.to_string(),
            incarnation: info.incarnation,
            ready: info.load.ready,
            queued: info.load.queued,
            running: info.load.running,
            slots: info.load.slots,
            version: info.config_version,
            epoch: info.roster_epoch,
            unheard_ms: last.at.elapsed().as_millis() as u64,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    on: bool,
}

#[derive(Serialize)]
struct LoadBody {
    ready: bool,
    queued: u32,
    running: u32,
}

/// State of this entry.
pub async fn entry(shared: Data<SharedState>, http: HttpRequest) -> Result<HttpResponse> {
    check_token(&shared, &http)?;
    Ok(HttpResponse::Ok().json(EntryBody {
        name: &shared.settings.name,
        centre: &shared.settings.centre,
        version: shared.fleet.version(),
        ready: !shared.stopping.load(Ordering::Acquire),
        agents: shared.agents.all().len(),
    }))
}

/// The agents that send heartbeats to this entry.
pub async fn agents(shared: Data<SharedState>, http: HttpRequest) -> Result<HttpResponse> {
    check_token(&shared, &http)?;
    let agents: Vec<AgentBody> = shared.agents.all().into_iter().map(AgentBody::from).collect();
    Ok(HttpResponse::Ok().json(agents))
}

/// Switches the drain mode of an agent on or off.
pub async fn drain(
    shared: Data<SharedState>,
    http: HttpRequest,
    agent: Path<String>,
    body: Bytes,
) -> Result<HttpResponse> {
    check_token(&shared, &http)?;
    let drain: DrainBody = parse(&body)?;
    let last = shared.agents.all().into_iter().find(|s| *s.info.name == **agent);
    let Some(last) = last else { return Err(Error::UnknownAgent(agent.into_inner())) };
    let reply = timeout(DRAIN_TIMEOUT, send_drain(&shared, &last.info, drain.on)).await;
    let load = match reply {
        Ok(Ok(load)) => load,
        Ok(Err(e)) => return Err(Error::Agent(e.to_string())),
        Err(_) => return Err(Error::Agent("no answer in time".to_owned())),
    };
    shared.agents.update_load(&last.info.name, load);
    let body = LoadBody { ready: load.ready, queued: load.queued, running: load.running };
    Ok(HttpResponse::Ok().json(body))
}

async fn send_drain(shared: &SharedState, agent: &AgentInfo, on: bool) -> wire::Result<Load> {
    let link = dial(agent.address, &shared.settings.token).await?;
    let mut req = link.agent()?.drain_request();
    Method::Drain.record_call();
    req.get().set_on(on);
    let res = req.send().promise.await?;
    Ok(read_load(res.get()?.get_load()?))
}

/// Refuses requests without the fleet token.
fn check_token(shared: &SharedState, http: &HttpRequest) -> Result<()> {
    let token = http.headers().get(Token::HEADER).map_or(&b""[..], |v| v.as_bytes());
    if shared.settings.token.matches(token) {
        return Ok(());
    }
    Err(Error::WrongToken)
}
