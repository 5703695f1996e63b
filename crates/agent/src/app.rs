use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Actor, Addr};
use base::{Event, now_us};
use conf::{AgentSettings, CurrentFleet};
use daemon::{listen, listen_http, stop_signal};
use platform_client::HttpPlatform;
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

/// How often the fleet configuration is checked for new limits.
const LIMITS_POLL_INTERVAL: Duration = Duration::from_millis(200);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait at shutdown for homes to confirm released claims.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait at shutdown for other agents to take over this agent's claims and records.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs an agent until a stop signal arrives.
pub fn run() -> eyre::Result<()> {
    daemon::run("Agent beside a backend server: queues tasks and runs them on it", serve)
}

async fn serve(settings: AgentSettings) -> daemon::Result<()> {
    let settings = Rc::new(settings);
    // binds both ports first, so that an agent that can't listen exits at once
    let http = listen_http(settings.http)?;
    let listener = listen(settings.rpc).await?;
    let identity = Identity::new(&settings, now_us());
    let platform = Rc::new(HttpPlatform::new(&settings.platform));
    let me = identity.member();
    let peers = Peers::new(me.clone(), &settings, platform);
    let clock = Clock::new();
    let claim_server = Rc::new(ClaimServer::new(&settings, me.clone(), peers.clone(), clock));
    let claim_client =
        ClaimClient::new(me.clone(), peers.clone(), claim_server.clone(), settings.token.clone());
    let claims = Claims {
        me: holder(&me),
        claim_client: claim_client.clone(),
        claim_server: claim_server.clone(),
        clock,
    };
    let runner = Runner::new(&settings, claims).start();
    let fleet: Arc<CurrentFleet> = Arc::default();
    let heartbeats =
        HeartbeatSender::new(&settings, identity, runner.clone(), fleet.clone(), peers.clone());

    let rpc =
        AgentRpc::new(runner.clone(), heartbeats.clone(), claim_server.clone(), peers.clone());
    let bootstrap = Bootstrap::for_agent(settings.token.clone(), capnp_rpc::new_client(rpc));
    actix::spawn(wire::serve(listener, bootstrap));
    peers.start(Stores { claim_server, runner: runner.clone() });
    let server = http::start(http, &settings, runner.clone(), fleet.clone())?;
    heartbeats.start();
    actix::spawn(watch_limits(settings.clone(), fleet.clone(), runner.clone()));
    Event::Started.log(format_args!("{} for {}", settings.name, settings.service));

    stop_signal().await;
    Event::Stopping.log(format_args!("{}", settings.name));
    runner.do_send(Drain::Stop);
    heartbeats.send_now().await;
    wait_until_idle(&runner, &claim_client).await;
    peers.leave(LEAVE_TIMEOUT).await;
    server.stop(true).await;
    Event::Stopped.log(format_args!("{}", settings.name));
    Ok(())
}

/// Applies the limits of the fleet configuration where they are lower than those
/// of the settings.
async fn watch_limits(settings: Rc<AgentSettings>, fleet: Arc<CurrentFleet>, runner: Addr<Runner>) {
    let mut version = 0;
    loop {
        let snapshot = fleet.get();
        if snapshot.version > version {
            version = snapshot.version;
            let values = snapshot.fleet.effective(&settings.service);
            let slots = settings.slots.min(values.slots as u32);
            let connections = settings.connections.min(values.connections as u32);
            // each running task uses a connection
            runner.do_send(Limits { slots: slots.min(connections), connections });
        }
        sleep(LIMITS_POLL_INTERVAL).await;
    }
}

/// Waits until no task is queued or running, the homes have confirmed released
/// claims, and the last answers are sent.
async fn wait_until_idle(runner: &Addr<Runner>, claim_client: &ClaimClient) {
    while let Ok(load) = runner.send(GetLoad).await {
        sleep(DRAIN_POLL_INTERVAL).await;
        if load.queued == 0 && load.running == 0 {
            break;
        }
    }
    let end = Instant::now() + RELEASE_TIMEOUT;
    while claim_client.pending_releases() > 0 && Instant::now() < end {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    sleep(DRAIN_POLL_INTERVAL).await;
}
