use actix_web::{
    App, HttpServer,
    dev::ServerHandle,
    middleware::from_fn,
    web::{Data, PayloadConfig, get, post},
};

use super::{admin, health, job, key, refusal::refusals, request};
use crate::{Error, Result, app::Shared, call::Dispatcher};

const SHUTDOWN_SECONDS: u64 = 120;

/// Starts to serve callers.
pub fn start(shared: &Shared) -> Result<ServerHandle> {
    let address = shared.settings.http;
    let threads = shared.settings.threads;
    let shared = shared.clone();
    let server = HttpServer::new(move || {
        let dispatcher = Dispatcher::new(&shared);
        App::new()
            .wrap(from_fn(refusals))
            .app_data(PayloadConfig::new(shared.settings.body_bytes))
            .app_data(Data::new(shared.clone()))
            .app_data(Data::new(dispatcher))
            .route("/v1/{service}/request", post().to(request::submit))
            .route("/v1/{service}/job", post().to(job::submit))
            .route("/v1/{service}/status", get().to(key::status))
            .route("/v1/{service}/cancel", post().to(key::cancel))
            .route("/admin/entry", get().to(admin::entry))
            .route("/admin/agents", get().to(admin::agents))
            .route("/admin/agents/{agent}/drain", post().to(admin::drain))
            .route("/healthz", get().to(health::healthz))
            .route("/readyz", get().to(health::readyz))
            .route("/metrics", get().to(health::metrics))
    });
    let server = server
        .workers(threads)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_SECONDS)
        .bind(address)
        .map_err(|why| Error::Listen { address, why })?
        .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}
