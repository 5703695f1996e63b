use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix::{Actor, Addr};
use base::{Event, clock_micros};
use conf::{AgentSettings, Current};
use log::LevelFilter;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    time::sleep,
};
use wire::Door;

use crate::{
    Error, Result, cli,
    greet::{Greeter, Identity},
    http,
    rpc::AgentRpc,
    run::{Drain, Inspect, Runner},
};

const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Runs an agent until it is told to stop.
pub fn run() -> eyre::Result<()> {
    let args = cli::args().run();
    let settings: AgentSettings = conf::load(&args.settings)?;
    if args.check_settings {
        println!("{}: no faults", args.settings);
        return Ok(());
    }
    base::start_logging(&settings.name, LevelFilter::Info)?;
    actix::System::new().block_on(serve(settings))?;
    Ok(())
}

async fn serve(settings: AgentSettings) -> Result<()> {
    let settings = Rc::new(settings);
    let listener = listen(settings.rpc).await?;
    let runner = Runner::new(&settings).start();
    let identity = Identity::new(&settings, clock_micros());
    let fleet: Arc<Current> = Arc::default();
    let greeter = Greeter::new(&settings, identity, runner.clone(), fleet.clone());

    let rpc = AgentRpc::new(runner.clone(), greeter.clone());
    let door = Door::for_agent(settings.token.clone(), capnp_rpc::new_client(rpc));
    actix::spawn(wire::serve(listener, door));
    let server = http::start(&settings, runner.clone(), fleet)?;
    greeter.start();
    Event::Started.log(format_args!("{} for {}", settings.name, settings.service));

    stop_signal().await;
    Event::Stopping.log(format_args!("{}", settings.name));
    runner.do_send(Drain::On);
    greeter.greet_now().await;
    idle(&runner).await;
    server.stop(true).await;
    Event::Stopped.log(format_args!("{}", settings.name));
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|why| Error::Listen { address, why })
}

async fn stop_signal() {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// Waits until nothing is queued or runs, and the last answers have left.
async fn idle(runner: &Addr<Runner>) {
    while let Ok(load) = runner.send(Inspect).await {
        sleep(DRAIN_POLL).await;
        if load.queued == 0 && load.running == 0 {
            break;
        }
    }
    sleep(DRAIN_POLL).await;
}
