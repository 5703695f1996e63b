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
use platform_client::HttpPlatform;
use tokio::time::sleep;
use wire::Bootstrap;

use crate::{
    call::AdmissionControl,
    counts::{CountWriter, SharedCounts},
    fleet::{
        Agents, ConfigWatcher, CurrentFleet, Endpoints, EntryList, Registrar, Rosters,
        log_lost_agents,
    },
    http,
    metrics::Metrics,
    rpc::EntryRpc,
};

/// State that the threads of an entry share.
#[derive(Clone)]
pub struct SharedState {
    pub settings: Arc<EntrySettings>,
    pub agents: Arc<Agents>,
    pub fleet: Arc<CurrentFleet>,
    pub rosters: Arc<Rosters>,
    /// live entries, this one included
    pub entries: Arc<EntryList>,
    pub metrics: Arc<Metrics>,
    pub admission: Arc<AdmissionControl>,
    pub counts: Arc<SharedCounts>,
    pub started_at: Instant,
    /// true from the start of a graceful shutdown
    pub stopping: Arc<AtomicBool>,
}

/// Runs an entry until the stop signal.
pub fn run() -> eyre::Result<()> {
    daemon::run("Entry of egretshelf: takes requests from callers", serve)
}

async fn serve(settings: EntrySettings) -> daemon::Result<()> {
    let heartbeat_timeout = Duration::from_millis(settings.silence_ms);
    let fleet = Arc::<CurrentFleet>::default();
    let entries = Arc::<EntryList>::default();
    let metrics = Arc::<Metrics>::default();
    let shared = SharedState {
        admission: Arc::new(AdmissionControl::new(fleet.clone(), entries.clone(), metrics.clone())),
        agents: Arc::new(Agents::new(heartbeat_timeout)),
        fleet,
        rosters: Arc::default(),
        entries,
        metrics,
        counts: Arc::default(),
        started_at: Instant::now(),
        stopping: Arc::default(),
        settings: Arc::new(settings),
    };
    // binds both ports first, so that an entry that can't listen exits before anything starts
    let http = listen_http(shared.settings.http)?;
    let listener = listen(shared.settings.rpc).await?;
    let bootstrap = Bootstrap::for_entry(
        shared.settings.token.clone(),
        capnp_rpc::new_client(EntryRpc::new(shared.clone())),
    );
    actix::spawn(wire::serve(listener, bootstrap));
    let platform = Rc::new(HttpPlatform::new(&shared.settings.platform));
    let poll_interval = Duration::from_millis(shared.settings.poll_ms);
    let rosters = shared.rosters.clone();
    actix::spawn(rosters.poll_table(platform.clone(), shared.fleet.clone(), poll_interval));
    actix::spawn(ConfigWatcher::new(platform.clone(), shared.fleet.clone(), poll_interval).run());
    let incarnation = now_us();
    let endpoints = Endpoints {
        name: shared.settings.name.clone(),
        http: shared.settings.http,
        rpc: shared.settings.rpc,
    };
    let registrar =
        Registrar::new(platform.clone(), shared.entries.clone(), endpoints, incarnation);
    actix::spawn(registrar.run());
    let name = shared.settings.name.clone();
    let count_writer =
        Rc::new(CountWriter::new(platform, shared.counts.clone(), name, incarnation));
    let write_interval = Duration::from_millis(shared.settings.counts_ms);
    actix::spawn(write_counts(count_writer.clone(), write_interval));
    actix::spawn(log_lost_agents(shared.agents.clone()));
    let server = http::start(http, &shared)?;
    Event::Started.log(format_args!("{}", shared.settings.name));

    stop_signal().await;
    Event::Stopping.log(format_args!("{}", shared.settings.name));
    shared.stopping.store(true, Ordering::Release);
    sleep(Duration::from_millis(shared.settings.unready_ms)).await;
    server.stop(true).await;
    count_writer.finish().await;
    Event::Stopped.log(format_args!("{}", shared.settings.name));
    Ok(())
}

async fn write_counts(writer: Rc<CountWriter>, interval: Duration) {
    writer.run(interval).await;
}
