use std::net::SocketAddr;

use actix::Addr;
use actix_web::{
    App, HttpResponse, HttpServer,
    dev::ServerHandle,
    web::{Data, Json, get, post},
};

use crate::{
    Error, Result,
    run::{Announce, Inspect, Leave, Runner},
};

/// Starts the HTTP side: announcements of the backend server, health, metrics.
pub fn start(address: SocketAddr, runner: Addr<Runner>) -> Result<ServerHandle> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(runner.clone()))
            .route("/announce", post().to(announce))
            .route("/leave", post().to(leave))
            .route("/healthz", get().to(healthz))
            .route("/readyz", get().to(readyz))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .bind(address)
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
    match runner.send(Inspect).await {
        Ok(load) if load.ready => HttpResponse::Ok().body("ready\n"),
        _ => HttpResponse::ServiceUnavailable().body("takes no new work\n"),
    }
}
