use std::net::TcpListener;

use actix_web::{
    App, HttpServer,
    dev::ServerHandle,
    middleware::from_fn,
    web::{Data, PayloadConfig, get, post, resource},
};
use daemon::{Error, HEAD_TIMEOUT, Result};

use super::{admin, health, job, key, refusal::render_refusals, request};
use crate::{app::SharedState, call::Dispatcher};

const SHUTDOWN_SECONDS: u64 = 120;

/// Starts the HTTP server.
///
/// # Errors
/// When the port can't be listened on.
pub fn start(listener: TcpListener, shared: &SharedState) -> Result<ServerHandle> {
    let address = shared.settings.http;
    let threads = shared.settings.threads;
    let shared = shared.clone();
    let server = HttpServer::new(move || {
        let dispatcher = Dispatcher::new(&shared);
        App::new()
            .wrap(from_fn(render_refusals))
            .app_data(PayloadConfig::new(shared.settings.body_bytes))
            .app_data(Data::new(shared.clone()))
            .app_data(Data::new(dispatcher))
            .service(resource("/v1/{service}/request").route(post().to(request::submit)))
            .service(resource("/v1/{service}/job").route(post().to(job::submit)))
            .service(resource("/v1/{service}/status").route(get().to(key::status)))
            .service(resource("/v1/{service}/cancel").route(post().to(key::cancel)))
            .service(resource("/admin/entry").route(get().to(admin::entry)))
            .service(resource("/admin/agents").route(get().to(admin::agents)))
            .service(resource("/admin/agents/{agent}/drain").route(post().to(admin::drain)))
            .service(resource("/healthz").route(get().to(health::healthz)))
            .service(resource("/readyz").route(get().to(health::readyz)))
            .service(resource("/metrics").route(get().to(health::metrics)))
    });
    let server = server
        .workers(threads)
        .disable_signals()
        .client_request_timeout(HEAD_TIMEOUT)
        .shutdown_timeout(SHUTDOWN_SECONDS)
        .listen(listener)
        .map_err(|why| Error::Listen { address, why })?
        .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}
