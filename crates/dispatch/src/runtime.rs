use std::{net::TcpListener, rc::Rc, sync::Arc, time::Duration};

use base::{Event, Name, now_us, uptime};
use conf::{CurrentFleet, DispatchSettings};
use entry::{Endpoints, EntryList, Registrar};
use lease::{LeaseTimings, SessionId};
use placement::{ObjectiveSettings, PlacerSettings};
use plat::Table;
use tokio::time::sleep;
use wire::Bootstrap;

use crate::{Agents, DispatcherSettings, EntryRpc, Gossip, JobDispatcher, Metrics, Report, Status};

const POLL: Duration = Duration::from_millis(50);

/// All parts of an entry that callers' requests need; they live in one thread.
pub struct EntryRuntime {
    pub dispatcher: Rc<JobDispatcher>,
    pub fleet: Arc<CurrentFleet>,
    pub status: Arc<Status>,
    name: Name,
    meeting: Rc<Gossip>,
    agents: Rc<Agents>,
}

impl EntryRuntime {
    /// Starts to work on the thread of the caller.
    ///
    /// # Errors
    /// When the port for agents can't be used.
    pub fn start(
        settings: &DispatchSettings,
        chain: LeaseTimings,
        listener: TcpListener,
        status: Arc<Status>,
        metrics: Arc<Metrics>,
        table: Rc<dyn Table>,
    ) -> std::io::Result<Rc<Self>> {
        let fleet = Arc::<CurrentFleet>::default();
        let incarnation = now_us();
        let (name, token) = (settings.name.clone(), settings.token.clone());
        let meeting = Gossip::new(
            name.clone(),
            incarnation,
            settings.advertised_rpc(),
            token.clone(),
            fleet.clone(),
        );
        let agents = Agents::new(settings.advertised_rpc(), settings.circle, chain.session_ttl);
        let desk_settings = DispatcherSettings {
            timings: chain,
            session: SessionId::of(&name, incarnation),
            objective: ObjectiveSettings::default(),
            placer: PlacerSettings::default(),
            far_factor: settings.far_factor,
        };
        let desk = JobDispatcher::new(desk_settings, agents.clone(), metrics);
        let rpc = EntryRpc::new(agents.clone(), fleet.clone(), meeting.clone());
        let door = Bootstrap::for_entry(token, capnp_rpc::new_client(rpc));
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        actix::spawn(wire::serve(listener, door));
        let place =
            Endpoints { name: name.clone(), http: settings.http, rpc: settings.advertised_rpc() };
        let peers = Arc::<EntryList>::default();
        actix::spawn(Registrar::new(table, peers.clone(), place, incarnation).run());
        let front = Rc::new(Self { dispatcher: desk, fleet, status, name, meeting, agents });
        front.set_entries(settings);
        actix::spawn(front.clone().keep_status(peers));
        Ok(front)
    }

    /// Meets the entries that the settings name.
    pub fn set_entries(&self, settings: &DispatchSettings) {
        self.meeting.set_entries(&settings.entries());
    }

    fn report(&self) -> Report {
        Report {
            name: self.name.clone(),
            version: self.fleet.version(),
            ready: self.status.is_ready(),
            agents: self.agents.report(),
            jobs: self.dispatcher.report(),
        }
    }

    async fn keep_status(self: Rc<Self>, peers: Arc<EntryList>) {
        let mut stopping = false;
        let mut closed = false;
        loop {
            for entry in peers.addresses() {
                self.meeting.add_entry(entry);
            }
            // without agents it could only refuse what other entries may serve
            let served = self.agents.any_ready();
            self.status.set_ready(self.fleet.version() > 0 && served);
            for asked in self.status.take_report_requests() {
                // an operator who has left needs no answer
                let _ = asked.send(self.report());
            }
            if let Some(end) = self.status.end() {
                if !stopping {
                    stopping = true;
                    self.dispatcher.close_at(end);
                    Event::Stopping.note(&[("jobs", (self.dispatcher.len() as u64).into())]);
                }
                if uptime() >= end && !closed {
                    closed = true;
                    self.dispatcher.cancel_all();
                }
            }
            sleep(POLL).await;
        }
    }
}
