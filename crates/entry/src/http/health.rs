use std::sync::atomic::Ordering;

use actix_web::{HttpResponse, web::Data};

use crate::app::Shared;

pub async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

pub async fn readyz(shared: Data<Shared>) -> HttpResponse {
    if !shared.ready.load(Ordering::Acquire) {
        return HttpResponse::ServiceUnavailable().body("stopping\n");
    }
    if shared.fleet.get().version == 0 {
        return HttpResponse::ServiceUnavailable().body("no fleet configuration yet\n");
    }
    HttpResponse::Ok().body("ready\n")
}
