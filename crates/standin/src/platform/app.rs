use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use actix_web::{
    App, HttpRequest, HttpResponse, HttpServer,
    web::{Data, Json, Path, PayloadConfig, Query, get, put},
};
use bpaf::Bpaf;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{
    faults::Faults,
    store::{PutResult, Store},
};

const MAX_VALUE_BYTES: usize = 4 << 20;

/// Stand-in for the platform's table service and object store
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// address to listen on
    #[bpaf(short, long, argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7000))))]
    listen: SocketAddr,
}

#[derive(Deserialize)]
struct ListQuery {
    prefix: String,
}

#[derive(Serialize)]
struct Stats {
    reads: u64,
    writes: u64,
}

type Shared = Data<Mutex<Store>>;

/// Serves until a stop signal.
pub fn run() -> eyre::Result<()> {
    let args = args().run();
    let store: Shared = Data::new(Mutex::default());
    actix_web::rt::System::new().block_on(async move {
        HttpServer::new(move || {
            App::new()
                .app_data(store.clone())
                .app_data(PayloadConfig::new(MAX_VALUE_BYTES))
                .route("/tables/egret", get().to(list_rows))
                .route("/tables/egret/{key:.*}", get().to(get_row))
                .route("/tables/egret/{key:.*}", put().to(put_row))
                .route("/objects/{name:.*}", get().to(get_object))
                .route("/objects/{name:.*}", put().to(put_object))
                .route("/admin/faults", get().to(get_faults))
                .route("/admin/faults", put().to(put_faults))
                .route("/admin/stats", get().to(stats))
        })
        .workers(1)
        .bind(args.listen)?
        .run()
        .await
    })?;
    Ok(())
}

async fn list_rows(store: Shared, query: Query<ListQuery>) -> HttpResponse {
    if let Some(refusal) = inject_fault(&store).await {
        return refusal;
    }
    HttpResponse::Ok().json(lock(&store).list(&query.prefix))
}

async fn get_row(store: Shared, key: Path<String>) -> HttpResponse {
    if let Some(refusal) = inject_fault(&store).await {
        return refusal;
    }
    match lock(&store).get(&key) {
        Some(row) => HttpResponse::Ok().json(row),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put_row(
    store: Shared,
    key: Path<String>,
    http: HttpRequest,
    value: String,
) -> HttpResponse {
    if let Some(refusal) = inject_fault(&store).await {
        return refusal;
    }
    let expected = http.headers().get("if-match").and_then(|v| v.to_str().ok()?.parse().ok());
    let Some(expected) = expected else {
        return HttpResponse::BadRequest().body("if-match must name the expected version\n");
    };
    let result = lock(&store).put(&key, expected, value);
    match result {
        PutResult::Written(row) => reply_or_lose(&store, HttpResponse::Ok().json(row)),
        PutResult::Conflict(row) => HttpResponse::Conflict().json(row),
    }
}

async fn get_object(store: Shared, name: Path<String>) -> HttpResponse {
    if let Some(refusal) = inject_fault(&store).await {
        return refusal;
    }
    match lock(&store).load(&name) {
        Some(value) => HttpResponse::Ok().body(value),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put_object(store: Shared, name: Path<String>, value: String) -> HttpResponse {
    if let Some(refusal) = inject_fault(&store).await {
        return refusal;
    }
    lock(&store).store(&name, value);
    reply_or_lose(&store, HttpResponse::Ok().finish())
}

async fn get_faults(store: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&store).faults)
}

async fn put_faults(store: Shared, faults: Json<Faults>) -> HttpResponse {
    lock(&store).faults = faults.into_inner();
    HttpResponse::Ok().finish()
}

async fn stats(store: Shared) -> HttpResponse {
    let store = lock(&store);
    HttpResponse::Ok().json(Stats { reads: store.reads, writes: store.writes })
}

/// Delays or refuses a call, according to the faults set.
async fn inject_fault(store: &Shared) -> Option<HttpResponse> {
    let faults = lock(store).faults.clone();
    if faults.slow_ms > 0 {
        sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    faults.down.then(|| HttpResponse::ServiceUnavailable().finish())
}

/// The reply to a write that took effect, or an error if the reply is to be lost.
fn reply_or_lose(store: &Shared, reply: HttpResponse) -> HttpResponse {
    let mut store = lock(store);
    if store.faults.lose_replies == 0 {
        return reply;
    }
    store.faults.lose_replies -= 1;
    HttpResponse::GatewayTimeout().finish()
}

fn lock(store: &Shared) -> MutexGuard<'_, Store> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}
