use std::{net::TcpListener, rc::Rc, sync::Arc, time::Duration};

use base::{Event, Name, now_us, uptime};
use conf::{CurrentFleet, DispatchSettings};
use drain::CurrentDrains;
use entry::{Endpoints, EntryList, Registrar};
use lease::{LeaseTimings, SessionId};
use placement::{ObjectiveSettings, PlacerSettings};
use platform_client::Table;
use tokio::time::sleep;
use wire::Bootstrap;

use crate::{Agents, DispatcherSettings, EntryRpc, Gossip, JobDispatcher, Metrics, Report, Status};

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The parts of an entry that serve callers; they live in one thread.
pub struct EntryRuntime {
    pub dispatcher: Rc<JobDispatcher>,
    pub fleet: Arc<CurrentFleet>,
    pub drains: Arc<CurrentDrains>,
    pub status: Arc<Status>,
    name: Name,
    gossip: Rc<Gossip>,
    agents: Rc<Agents>,
}

impl EntryRuntime {
    /// Starts an entry on the thread of the caller.
    ///
    /// # Errors
    /// When the port for agents can't be used.
    pub fn start(
        settings: &DispatchSettings,
        timings: LeaseTimings,
        listener: TcpListener,
        status: Arc<Status>,
        metrics: Arc<Metrics>,
        table: Rc<dyn Table>,
    ) -> std::io::Result<Rc<Self>> {
        let fleet = Arc::<CurrentFleet>::default();
        let drains = Arc::<CurrentDrains>::default();
        let incarnation = now_us();
        let (name, token) = (settings.name.clone(), settings.token.clone());
        let gossip = Gossip::new(
            name.clone(),
            incarnation,
            settings.centre.clone(),
            settings.advertised_rpc(),
            token.clone(),
            fleet.clone(),
            drains.clone(),
        );
        let agents = Agents::new(
            settings.advertised_rpc(),
            settings.circle,
            timings.report_timeout(),
            drains.clone(),
        );
        let dispatcher_settings = DispatcherSettings {
            timings,
            session: SessionId::of(&name, incarnation),
            objective: ObjectiveSettings::default(),
            placer: PlacerSettings::default(),
            far_factor: settings.far_factor,
        };
        let dispatcher = JobDispatcher::new(dispatcher_settings, agents.clone(), metrics);
        let rpc = EntryRpc::new(agents.clone(), fleet.clone(), gossip.clone());
        let bootstrap = Bootstrap::for_entry(token, capnp_rpc::new_client(rpc));
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        actix::spawn(wire::serve(listener, bootstrap));
        let place =
            Endpoints { name: name.clone(), http: settings.http, rpc: settings.advertised_rpc() };
        let peers = Arc::<EntryList>::default();
        actix::spawn(Registrar::new(table, peers.clone(), place, incarnation).run());
        let runtime = Rc::new(Self { dispatcher, fleet, drains, status, name, gossip, agents });
        runtime.set_entries(settings);
        actix::spawn(runtime.clone().keep_status(peers));
        Ok(runtime)
    }

    /// Applies the list of entries in the settings.
    pub fn set_entries(&self, settings: &DispatchSettings) {
        self.gossip.set_entries(&settings.entries());
    }

    fn report(&self) -> Report {
        Report {
            name: self.name.clone(),
            version: self.fleet.version(),
            ready: self.status.is_ready(),
            agents: self.agents.report(),
            jobs: self.dispatcher.report(),
            racks: self.dispatcher.rack_report(),
            drains: self.agents.report_drains(),
            backlog: self.agents.backlog_report(),
            confined: self.agents.confined_queues(),
        }
    }

    async fn keep_status(self: Rc<Self>, peers: Arc<EntryList>) {
        let mut is_stopping = false;
        let mut is_closed = false;
        loop {
            let metrics = self.dispatcher.metrics();
            metrics.config_version.set(self.fleet.version());
            metrics.drained_centres.set(self.drains.len() as u64);
            metrics.set_backlog(&self.agents.backlog.by_class());
            self.dispatcher.refresh_racks();
            self.agents.release_queues();
            metrics.confined_queues.set(self.agents.confined_queues().len() as u64);
            for entry in peers.addresses() {
                self.gossip.add_entry(entry);
            }
            // without agents it would refuse jobs that other entries may serve
            let has_agents = self.agents.any_ready();
            self.status.set_ready(self.fleet.version() > 0 && has_agents);
            for request in self.status.take_report_requests() {
                // the operator may have disconnected
                let _ = request.send(self.report());
            }
            if let Some(deadline) = self.status.deadline() {
                if !is_stopping {
                    is_stopping = true;
                    self.dispatcher.close_at(deadline);
                    Event::Stopping.note(&[("jobs", (self.dispatcher.len() as u64).into())]);
                }
                if uptime() >= deadline && !is_closed {
                    is_closed = true;
                    self.dispatcher.cancel_all();
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
