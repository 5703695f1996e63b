use std::{net::TcpListener, sync::Arc};

use actix::Addr;
use actix_web::{
    App, HttpResponse, HttpServer,
    dev::ServerHandle,
    web::{Data, Json, get, post},
};
use conf::{AgentSettings, CurrentFleet};
use daemon::{Error, HEAD_TIMEOUT, Result};

use crate::{
    metrics::{self, Labels},
    run::{Announce, GetLoad, GetMemoryUse, Leave, Runner},
};

/// Starts the HTTP server: announcements of the backend server, health, metrics.
///
/// # Errors
/// When it can't listen on the port.
pub fn start(
    listener: TcpListener,
    settings: &AgentSettings,
    runner: Addr<Runner>,
    fleet: Arc<CurrentFleet>,
) -> Result<ServerHandle> {
    let address = settings.http;
    let labels =
        Data::new(Labels { name: settings.name.clone(), service: settings.service.clone() });
    let fleet = Data::from(fleet);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(runner.clone()))
            .app_data(fleet.clone())
            .app_data(labels.clone())
            .route("/announce", post().to(announce))
            .route("/leave", post().to(leave))
            .route("/healthz", get().to(healthz))
            .route("/readyz", get().to(readyz))
            .route("/metrics", get().to(metrics_page))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .client_request_timeout(HEAD_TIMEOUT)
        .listen(listener)
        .map_err(|why| Error::Listen { address, why })?
        .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}

async fn announce(runner: Data<Addr<Runner>>, body: Json<Announce>) -> HttpResponse {
    runner.do_send(body.into_inner());
    HttpResponse::Ok().finish()
}

async fn leave(runner: Data<Addr<Runner>>, body: Json<Leave>) -> HttpResponse {
    runner.do_send(body.into_inner());
    HttpResponse::Ok().finish()
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

async fn readyz(runner: Data<Addr<Runner>>) -> HttpResponse {
    match runner.send(GetLoad).await {
        Ok(load) if load.ready => HttpResponse::Ok().body("ready\n"),
        _ => HttpResponse::ServiceUnavailable().body("takes no new work\n"),
    }
}

async fn metrics_page(
    runner: Data<Addr<Runner>>,
    fleet: Data<CurrentFleet>,
    labels: Data<Labels>,
) -> HttpResponse {
    let load = runner.send(GetLoad).await.unwrap_or_default();
    let memory = runner.send(GetMemoryUse).await.unwrap_or_default();
    match metrics::page(&labels, &load, &memory, fleet.version()) {
        Ok(text) => HttpResponse::Ok().content_type(metrics::CONTENT_TYPE).body(text),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}
