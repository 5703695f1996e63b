use std::{sync::atomic::Ordering, time::Duration};

use actix_web::{HttpResponse, web::Data};

use crate::{app::SharedState, metrics::CONTENT_TYPE};

pub async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

pub async fn readyz(shared: Data<SharedState>) -> HttpResponse {
    if shared.stopping.load(Ordering::Acquire) {
        return HttpResponse::ServiceUnavailable().body("stopping\n");
    }
    if shared.fleet.get().version == 0 {
        return HttpResponse::ServiceUnavailable().body("no fleet configuration yet\n");
    }
    if shared.started_at.elapsed() < Duration::from_millis(shared.settings.warm_ms) {
        return HttpResponse::ServiceUnavailable().body("agents are still greeting\n");
    }
    HttpResponse::Ok().body("ready\n")
}

pub async fn metrics(shared: Data<SharedState>) -> HttpResponse {
    match shared.metrics.render(shared.fleet.version(), shared.agents.all().len()) {
        Ok(text) => HttpResponse::Ok().content_type(CONTENT_TYPE).body(text),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}
