use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use actix_web::{
    App, HttpRequest, HttpResponse, HttpServer,
    web::{Bytes, Data, Json, PayloadConfig, get, post, put},
};
use base::{now_ms, now_us};
use bpaf::Bpaf;
use daemon::stop_signal;
use futures::{Stream, StreamExt, stream};
use serde::Serialize;
use tokio::time::sleep;

use super::{
    announce::{keep_announcing, leave},
    starts::{Start, Starts},
    work::{Mode, Work},
};

const MAX_BODY_BYTES: usize = 4 << 20;
const SHUTDOWN_TIMEOUT_S: u64 = 120;
const CUT_DELAY: Duration = Duration::from_millis(20);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stand-in for a backend server
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// address to listen on
    #[bpaf(short, long, argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7500))))]
    listen: SocketAddr,
    /// URL of the agent to announce to
    #[bpaf(short, long, argument("URL"))]
    agent: String,
    /// speed factor: run times are divided by it
    #[bpaf(short, long, argument("FACTOR"), fallback(1.0))]
    speed: f64,
}

struct Server {
    speed: f64,
    starts: Mutex<Starts>,
    mode: Mutex<Mode>,
}

#[derive(Serialize)]
struct Result<'a> {
    key: &'a str,
    index: u32,
    ran_ms: f64,
    #[serde(skip_serializing_if = "str::is_empty")]
    padding: &'a str,
}

#[derive(Serialize)]
struct Stats {
    starts: usize,
    running: usize,
    most: usize,
}

/// Serves until a stop signal.
pub fn run() -> eyre::Result<()> {
    let args = args().run();
    actix_web::rt::System::new().block_on(serve(args))?;
    Ok(())
}

async fn serve(args: Args) -> std::io::Result<()> {
    let server =
        Data::new(Server { speed: args.speed, starts: Mutex::default(), mode: Mutex::default() });
    let running = server.clone();
    let http = HttpServer::new(move || {
        App::new()
            .app_data(server.clone())
            .app_data(PayloadConfig::new(MAX_BODY_BYTES))
            .route("/run", post().to(run_task))
            .route("/admin/starts", get().to(starts))
            .route("/admin/stats", get().to(stats))
            .route("/admin/mode", put().to(set_mode))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
    .bind(args.listen)?
    .run();
    let handle = http.handle();
    actix_web::rt::spawn(http);
    let incarnation = now_us();
    let url = format!("http://{}/run", args.listen);
    let renewal = actix_web::rt::spawn(keep_announcing(args.agent.clone(), url, incarnation));
    stop_signal().await;
    renewal.abort();
    leave(&args.agent, incarnation).await;
    // keep listening meanwhile, so that work sent in error is logged as a start
    while lock(&running.starts).running > 0 {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    handle.stop(true).await;
    Ok(())
}

async fn run_task(server: Data<Server>, http: HttpRequest, body: Bytes) -> HttpResponse {
    let header = |name| http.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
    let key = header("idempotency-key");
    let index = header("egret-index").parse().unwrap_or(0);
    let work: Work = serde_json::from_slice(&body).unwrap_or_default();
    let start = Start {
        team: header("egret-team").to_owned(),
        key: key.to_owned(),
        index,
        at_ms: now_ms(),
    };
    lock(&server.starts).begin(start);
    let started = Instant::now();
    let fail_all = lock(&server.mode).fail_all;
    let run_ms = if fail_all { 0.0 } else { work.run_ms / server.speed };
    sleep(Duration::from_secs_f64(run_ms / 1e3)).await;
    lock(&server.starts).end();
    let ran_ms = started.elapsed().as_secs_f64() * 1e3;
    if fail_all || work.fail {
        return HttpResponse::InternalServerError().body("told to fail");
    }
    if work.cut {
        return HttpResponse::Ok().no_chunking(1 << 10).streaming(cut_body());
    }
    if work.cut_chunks {
        return HttpResponse::Ok().streaming(cut_body());
    }
    let padding = "x".repeat(work.answer_bytes);
    HttpResponse::Ok().json(Result { key, index, ran_ms, padding: &padding })
}

/// A body that ends in an error before it is complete.
fn cut_body() -> impl Stream<Item = std::io::Result<Bytes>> {
    let part = stream::once(async { Ok(Bytes::from_static(b"{\"part\":")) });
    let cut = stream::once(async {
        // the first part must be sent before the connection closes
        sleep(CUT_DELAY).await;
        Err(std::io::ErrorKind::ConnectionReset.into())
    });
    part.chain(cut)
}

async fn starts(server: Data<Server>) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&server.starts).log)
}

async fn stats(server: Data<Server>) -> HttpResponse {
    let starts = lock(&server.starts);
    HttpResponse::Ok().json(Stats {
        starts: starts.log.len(),
        running: starts.running,
        most: starts.most,
    })
}

async fn set_mode(server: Data<Server>, mode: Json<Mode>) -> HttpResponse {
    *lock(&server.mode) = mode.into_inner();
    HttpResponse::Ok().finish()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
