use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base::{Event, now_us};
use conf::EntrySettings;
use daemon::{listen, listen_http, stop_signal};
use plat::HttpPlatform;
use tokio::time::sleep;
use wire::Bootstrap;

use crate::{
    call::Gate,
    counts::{Counts, Keeper},
    fleet::{
        Agents, CurrentFleet, Endpoints, EntryList, Registrar, Rosters, Watcher, watch_silence,
    },
    http,
    metrics::Metrics,
    rpc::EntryRpc,
};

/// What the threads of an entry share.
#[derive(Clone)]
pub struct Shared {
    pub settings: Arc<EntrySettings>,
    pub agents: Arc<Agents>,
    pub fleet: Arc<CurrentFleet>,
    pub rosters: Arc<Rosters>,
    /// the other entries
    pub peers: Arc<EntryList>,
    pub metrics: Arc<Metrics>,
    pub gate: Arc<Gate>,
    pub counts: Arc<Counts>,
    pub started: Instant,
    /// true from the start of a graceful shutdown
    pub stopping: Arc<AtomicBool>,
}

/// Runs an entry until it is told to stop.
pub fn run() -> eyre::Result<()> {
    daemon::run("Entry of egretshelf: takes requests from callers", serve)
}

async fn serve(settings: EntrySettings) -> daemon::Result<()> {
    let silence = Duration::from_millis(settings.silence_ms);
    let fleet = Arc::<CurrentFleet>::default();
    let peers = Arc::<EntryList>::default();
    let metrics = Arc::<Metrics>::default();
    let shared = Shared {
        gate: Arc::new(Gate::new(fleet.clone(), peers.clone(), metrics.clone())),
        agents: Arc::new(Agents::new(silence)),
        fleet,
        rosters: Arc::default(),
        peers,
        metrics,
        counts: Arc::default(),
        started: Instant::now(),
        stopping: Arc::default(),
        settings: Arc::new(settings),
    };
    // both ports before anything starts: a program that can't listen ends at once
    let http = listen_http(shared.settings.http)?;
    let listener = listen(shared.settings.rpc).await?;
    let door = Bootstrap::for_entry(
        shared.settings.token.clone(),
        capnp_rpc::new_client(EntryRpc::new(shared.clone())),
    );
    actix::spawn(wire::serve(listener, door));
    let platform = Rc::new(HttpPlatform::new(&shared.settings.platform));
    let poll = Duration::from_millis(shared.settings.poll_ms);
    let rosters = shared.rosters.clone();
    actix::spawn(rosters.watch(platform.clone(), shared.fleet.clone(), poll));
    actix::spawn(Watcher::new(platform.clone(), shared.fleet.clone(), poll).run());
    let incarnation = now_us();
    let place = Endpoints {
        name: shared.settings.name.clone(),
        http: shared.settings.http,
        rpc: shared.settings.rpc,
    };
    let registrar = Registrar::new(platform.clone(), shared.peers.clone(), place, incarnation);
    actix::spawn(registrar.run());
    let name = shared.settings.name.clone();
    let keeper = Rc::new(Keeper::new(platform, shared.counts.clone(), name, incarnation));
    let period = Duration::from_millis(shared.settings.counts_ms);
    actix::spawn(keep_counts(keeper.clone(), period));
    actix::spawn(watch_silence(shared.agents.clone()));
    let server = http::start(http, &shared)?;
    Event::Started.log(format_args!("{}", shared.settings.name));

    stop_signal().await;
    Event::Stopping.log(format_args!("{}", shared.settings.name));
    shared.stopping.store(true, Ordering::Release);
    sleep(Duration::from_millis(shared.settings.unready_ms)).await;
    server.stop(true).await;
    keeper.finish().await;
    Event::Stopped.log(format_args!("{}", shared.settings.name));
    Ok(())
}

async fn keep_counts(keeper: Rc<Keeper>, period: Duration) {
    keeper.run(period).await;
}
