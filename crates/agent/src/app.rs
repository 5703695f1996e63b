use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Actor, Addr};
use base::{Event, now_us};
use conf::{AgentSettings, CurrentFleet};
use daemon::{listen, listen_http, stop_signal};
use plat::HttpPlatform;
use tokio::time::sleep;
use wire::Bootstrap;

use crate::{
    heartbeat::{HeartbeatSender, Identity},
    home::{ClaimClient, ClaimServer, Clock, holder},
    http,
    peers::{Peers, Stores},
    rpc::AgentRpc,
    run::{Claims, Drain, GetLoad, Limits, Runner},
};

/// How soon new limits are kept to.
const LIMITS_POLL_INTERVAL: Duration = Duration::from_millis(200);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait at a stop for homes to hear of claims given up.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait at a stop for the others to take over what is remembered here.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs an agent until it is told to stop.
pub fn run() -> eyre::Result<()> {
    daemon::run("Agent beside a backend server: queues tasks and runs them on it", serve)
}

async fn serve(settings: AgentSettings) -> daemon::Result<()> {
    let settings = Rc::new(settings);
    // both ports before anything starts: a program that can't listen ends at once
    let http = listen_http(settings.http)?;
    let listener = listen(settings.rpc).await?;
    let identity = Identity::new(&settings, now_us());
    let platform = Rc::new(HttpPlatform::new(&settings.platform));
    let me = identity.member();
    let peers = Peers::new(me.clone(), &settings, platform);
    let clock = Clock::new();
    let desk = Rc::new(ClaimServer::new(&settings, me.clone(), peers.clone(), clock));
    let claimer = ClaimClient::new(me.clone(), peers.clone(), desk.clone(), settings.token.clone());
    let claims = Claims {
        me: holder(&me),
        claim_client: claimer.clone(),
        claim_server: desk.clone(),
        clock,
    };
    let runner = Runner::new(&settings, claims).start();
    let fleet: Arc<CurrentFleet> = Arc::default();
    let greeter =
        HeartbeatSender::new(&settings, identity, runner.clone(), fleet.clone(), peers.clone());

    let rpc = AgentRpc::new(runner.clone(), greeter.clone(), desk.clone(), peers.clone());
    let door = Bootstrap::for_agent(settings.token.clone(), capnp_rpc::new_client(rpc));
    actix::spawn(wire::serve(listener, door));
    peers.start(Stores { claim_server: desk, runner: runner.clone() });
    let server = http::start(http, &settings, runner.clone(), fleet.clone())?;
    greeter.start();
    actix::spawn(watch_limits(settings.clone(), fleet.clone(), runner.clone()));
    Event::Started.log(format_args!("{} for {}", settings.name, settings.service));

    stop_signal().await;
    Event::Stopping.log(format_args!("{}", settings.name));
    runner.do_send(Drain::Stop);
    greeter.send_now().await;
    wait_until_idle(&runner, &claimer).await;
    peers.leave(LEAVE_TIMEOUT).await;
    server.stop(true).await;
    Event::Stopped.log(format_args!("{}", settings.name));
    Ok(())
}

/// Keeps to the limits of the fleet configuration, where they are lower than
/// those of the settings.
async fn watch_limits(settings: Rc<AgentSettings>, fleet: Arc<CurrentFleet>, runner: Addr<Runner>) {
    let mut version = 0;
    loop {
        let snapshot = fleet.get();
        if snapshot.version > version {
            version = snapshot.version;
            let values = snapshot.fleet.effective(&settings.service);
            let slots = settings.slots.min(values.slots as u32);
            let connections = settings.connections.min(values.connections as u32);
            // each running task takes a connection
            runner.do_send(Limits { slots: slots.min(connections), connections });
        }
        sleep(LIMITS_POLL_INTERVAL).await;
    }
}

/// Waits until nothing is queued or runs, the homes have heard of claims given
/// up, and the last answers have left.
async fn wait_until_idle(runner: &Addr<Runner>, claimer: &ClaimClient) {
    while let Ok(load) = runner.send(GetLoad).await {
        sleep(DRAIN_POLL_INTERVAL).await;
        if load.queued == 0 && load.running == 0 {
            break;
        }
    }
    let end = Instant::now() + RELEASE_TIMEOUT;
    while claimer.pending_releases() > 0 && Instant::now() < end {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    sleep(DRAIN_POLL_INTERVAL).await;
}
