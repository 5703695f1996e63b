use std::{
    cell::RefCell,
    collections::HashSet,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::Addr;
use base::{Event, Member, Name, Token};
use conf::{AgentSettings, CurrentFleet, Snapshot};
use futures::future::join_all;
use roster::Homes;
use tokio::time::{sleep, timeout};
use wire::{AgentInfo, Link, Load, Method, dial, write_info};

use crate::run::{GetLoad, Runner};

/// An entry that is not in the settings is forgotten when unreachable for this long.
const FORGET_AFTER: Duration = Duration::from_secs(300);

/// Identity of this agent for as long as the process runs.
#[derive(Clone, Debug)]
pub struct Identity {
    pub name: Name,
    pub incarnation: u64,
    pub address: SocketAddr,
    pub centre: Name,
    pub rack: Name,
    pub service: Name,
}

impl Identity {
    pub fn new(settings: &AgentSettings, incarnation: u64) -> Self {
        Self {
            name: settings.name.clone(),
            incarnation,
            address: settings.rpc,
            centre: settings.centre.clone(),
            rack: settings.rack.clone(),
            service: settings.service.clone(),
        }
    }

    /// This agent as listed in a roster.
    pub fn member(&self) -> Member {
        Member {
            name: self.name.clone(),
            incarnation: self.incarnation,
            address: self.address,
            centre: self.centre.clone(),
            rack: self.rack.clone(),
        }
    }
}

/// Sends heartbeats to all entries (`greet` on the wire), and discovers further
/// entries by their replies.
#[derive(Clone)]
pub struct HeartbeatSender {
    state: Rc<State>,
}

struct State {
    identity: Identity,
    token: Token,
    interval: Duration,
    runner: Addr<Runner>,
    fleet: Arc<CurrentFleet>,
    homes: Rc<dyn Homes>,
    /// entries in the settings, never forgotten
    configured: Vec<SocketAddr>,
    entries: RefCell<HashSet<SocketAddr>>,
    links: RefCell<Vec<Rc<Link>>>,
}

impl HeartbeatSender {
    pub fn new(
        settings: &AgentSettings,
        identity: Identity,
        runner: Addr<Runner>,
        fleet: Arc<CurrentFleet>,
        homes: Rc<dyn Homes>,
    ) -> Self {
        let state = State {
            identity,
            token: settings.token.clone(),
            interval: Duration::from_millis(settings.beat_ms),
            runner,
            fleet,
            homes,
            configured: settings.entries.clone(),
            entries: RefCell::new(settings.entries.iter().copied().collect()),
            links: RefCell::default(),
        };
        Self { state: Rc::new(state) }
    }

    /// Starts sending heartbeats to the configured entries.
    pub fn start(&self) {
        let entries: Vec<SocketAddr> = self.state.entries.borrow().iter().copied().collect();
        for entry in entries {
            actix::spawn(self.clone().maintain_link(entry));
        }
    }

    /// Sends a heartbeat to every connected entry at once.
    pub async fn send_now(&self) {
        let links = self.state.links.borrow().clone();
        join_all(links.iter().map(|link| timeout(self.state.interval, self.send(link)))).await;
    }

    async fn maintain_link(self, entry: SocketAddr) {
        let mut last_contact = Instant::now();
        while self.is_configured(entry) || last_contact.elapsed() < FORGET_AFTER {
            if let Ok(link) = dial(entry, &self.state.token).await {
                self.run_link(Rc::new(link)).await;
                last_contact = Instant::now();
            }
            sleep(self.state.interval).await;
        }
        self.state.entries.borrow_mut().remove(&entry);
    }

    fn is_configured(&self, entry: SocketAddr) -> bool {
        self.state.configured.contains(&entry)
    }

    /// Sends heartbeats over one link for as long as it works.
    async fn run_link(&self, link: Rc<Link>) {
        self.state.links.borrow_mut().push(link.clone());
        let mut sent_version = 0;
        while !link.is_down() {
            if let Err(e) = self.send_with_config(&link, &mut sent_version).await {
                Event::LinkLost.log(format_args!("entry {}: {e}", link.address()));
                break;
            }
            sleep(self.state.interval).await;
        }
        self.state.links.borrow_mut().retain(|l| !Rc::ptr_eq(l, &link));
    }

    /// Sends a heartbeat, and each configuration once to an entry with an older one.
    async fn send_with_config(&self, link: &Link, sent_version: &mut u64) -> wire::Result<()> {
        let entry_version = self.send(link).await?;
        let snapshot = self.state.fleet.get();
        if entry_version >= snapshot.version || *sent_version >= snapshot.version {
            return Ok(());
        }
        *sent_version = snapshot.version;
        self.send_heartbeat(link, &snapshot, Some(&snapshot.text)).await.map(drop)
    }

    /// Sends a heartbeat; returns the version of the entry's configuration.
    async fn send(&self, link: &Link) -> wire::Result<u64> {
        let snapshot = self.state.fleet.get();
        self.send_heartbeat(link, &snapshot, None).await
    }

    async fn send_heartbeat(
        &self,
        link: &Link,
        snapshot: &Snapshot,
        document: Option<&str>,
    ) -> wire::Result<u64> {
        let load = self.state.runner.send(GetLoad).await.unwrap_or_default();
        let mut req = link.entry()?.greet_request();
        Method::Greet.record_call();
        write_info(req.get().init_info(), &self.info(load, snapshot.version));
        req.get().set_seen(self.state.fleet.highest_offered());
        if let Some(document) = document {
            req.get().set_document(document);
        }
        let res = req.send().promise.await?;
        let res = res.get()?;
        if res.has_document() {
            let text = res.get_document()?.to_str().unwrap_or_default();
            self.state.fleet.offer(res.get_version(), text);
        }
        for entry in res.get_entries()?.iter() {
            self.add_entry(entry?.to_str().unwrap_or_default());
        }
        Ok(res.get_version())
    }

    fn info(&self, load: Load, version: u64) -> AgentInfo {
        let id = &self.state.identity;
        AgentInfo {
            name: id.name.clone(),
            incarnation: self.state.homes.me().map_or(id.incarnation, |me| me.incarnation),
            address: id.address,
            centre: id.centre.clone(),
            rack: id.rack.clone(),
            service: id.service.clone(),
            load,
            config_version: version,
            roster_epoch: self.state.homes.epoch(),
        }
    }

    fn add_entry(&self, entry: &str) {
        let Ok(entry) = entry.parse() else { return };
        if self.state.entries.borrow_mut().insert(entry) {
            actix::spawn(self.clone().maintain_link(entry));
        }
    }
}
