use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use base::{Event, Name, Token, Uptime, uptime};
use conf::CurrentFleet;
use config_sync::{ConfigExchange, ExchangeSettings, TransferSlot};
use drain::{CurrentDrains, Drains};
use tokio::time::{sleep, timeout};
use wire::{
    Document, Hello, Link, Method, SEND_NOTHING, Welcome, dial_within, read_welcome, write_welcome,
};

/// Time between two exchanges with an entry in a small fleet; all agents know a
/// new entry within about twice that.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Exchanges started within an interval; with more entries the interval grows
/// instead of their number.
const EXCHANGES_PER_INTERVAL: usize = 8;
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between attempts to reach an entry that may just be starting.
const REDIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an unreachable entry is dialled at the usual interval.
const STARTING_PERIOD: Duration = Duration::from_secs(4);
/// Shortest time after which an unreachable entry is forgotten.
const MIN_RETENTION: Duration = Duration::from_secs(20);
/// Time from hearing of a new configuration to asking for it: usually the store
/// sends it by then.
const STORE_READ_TIME: Duration = Duration::from_millis(400);
/// Shorter than that of agents: callers don't wait for them.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Gossip between entries about the entries and the configuration of the fleet.
/// Entries learn of each other from the settings, from the platform's table and
/// from other entries; any of these is enough.
pub struct Gossip {
    name: Name,
    incarnation: u64,
    centre: Name,
    address: SocketAddr,
    token: Token,
    fleet: Arc<CurrentFleet>,
    drains: Arc<CurrentDrains>,
    /// entries in the settings, which are never forgotten
    configured: RefCell<Vec<SocketAddr>>,
    /// known entries, and the time of the newest exchange
    known: RefCell<BTreeMap<SocketAddr, Cell<Uptime>>>,
    exchange: Rc<ConfigExchange>,
    /// documents to agents and entries
    outgoing: RefCell<TransferSlot>,
    /// documents from agents
    incoming: RefCell<TransferSlot>,
    /// newest version of an agent, and when this entry first heard of it
    newest_heard: Cell<(u64, Uptime)>,
}

impl Gossip {
    pub fn new(
        name: Name,
        incarnation: u64,
        centre: Name,
        address: SocketAddr,
        token: Token,
        fleet: Arc<CurrentFleet>,
        drains: Arc<CurrentDrains>,
    ) -> Rc<Self> {
        let settings =
            ExchangeSettings { delay: STORE_READ_TIME, retry_interval: FETCH_RETRY_INTERVAL };
        let exchange = ConfigExchange::new(name.clone(), token.clone(), fleet.clone(), settings);
        Rc::new(Self {
            name,
            incarnation,
            centre,
            address,
            token,
            fleet,
            drains,
            configured: RefCell::default(),
            known: RefCell::default(),
            exchange,
            outgoing: RefCell::default(),
            incoming: RefCell::default(),
            newest_heard: Cell::default(),
        })
    }

    /// Sets the entries of the settings; those known already stay known.
    pub fn set_entries(self: &Rc<Self>, entries: &[SocketAddr]) {
        *self.configured.borrow_mut() = entries.to_vec();
        for entry in entries {
            self.add_entry(*entry);
        }
    }

    /// Adds an entry, unless it is known.
    pub fn add_entry(self: &Rc<Self>, entry: SocketAddr) {
        if entry == self.address || self.known.borrow().contains_key(&entry) {
            return;
        }
        self.known.borrow_mut().insert(entry, Cell::new(Uptime::ZERO));
        Event::EntryDiscovered.note(&[("entry", entry.to_string().as_str().into())]);
        actix::spawn(self.clone().keep_exchanging(entry));
    }

    /// Handles a call of another entry with its address and what it knows.
    pub fn on_meet(self: &Rc<Self>, entry: SocketAddr, known: &Welcome) {
        self.add_entry(entry);
        self.apply(entry, known);
    }

    /// Message for a process that has seen the version `seen`, and takes a newer one
    /// with it.
    pub fn welcome(&self, to: &Name, seen: u64) -> Welcome {
        let document = self.document_for(to, seen);
        let version = document.as_ref().map(|d| d.version);
        self.message(version.unwrap_or_else(|| self.fleet.highest_offered()), document)
    }

    /// Message for an agent; shows it an older version than its own only if it is to
    /// send the configuration.
    pub fn welcome_agent(&self, hello: &Hello) -> Welcome {
        let mut welcome = self.welcome(&hello.name, hello.highest_offered);
        let is_behind = self.fleet.highest_offered() < hello.config_version;
        if is_behind && !self.requests_from(&hello.name, hello.config_version) {
            welcome.config_version = hello.config_version;
        }
        welcome
    }

    /// The configuration for a process that has seen the version `seen`; `None` if it
    /// needs none, or others are being sent theirs.
    pub fn document_for(&self, to: &Name, seen: u64) -> Option<Document> {
        let snapshot = self.fleet.get();
        if seen < snapshot.version {
            let is_next = self.outgoing.borrow_mut().acquire(to, uptime());
            let (version, text) = (snapshot.version, snapshot.text.clone());
            return is_next.then_some(Document { version, text });
        }
        if seen != SEND_NOTHING {
            self.outgoing.borrow_mut().release(to, uptime());
        }
        None
    }

    /// Handles the drained data centres known to an agent.
    pub fn on_drains(&self, drains: &Drains) {
        self.drains.offer(drains);
    }

    /// Handles a configuration from an agent.
    pub fn on_document(&self, from: &Name, version: u64, document: &str) {
        self.fleet.offer(version, document);
        self.incoming.borrow_mut().release(from, uptime());
    }

    /// This entry and those with a recent exchange.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let (now, retention) = (uptime(), self.retention());
        let known = self.known.borrow();
        let recent =
            known.iter().filter(|(_, at)| at.get() + retention > now && !at.get().is_zero());
        recent.map(|(entry, _)| *entry).chain([self.address]).collect()
    }

    /// Whether an agent with a newer version is to send it.
    fn requests_from(&self, agent: &Name, version: u64) -> bool {
        let now = uptime();
        let (newest, since) = self.newest_heard.get();
        if version > newest {
            self.newest_heard.set((version, now));
        }
        let waited = if version > newest { Duration::ZERO } else { now.saturating_sub(since) };
        let is_due = self.fleet.version() == 0 || waited >= STORE_READ_TIME;
        is_due && self.incoming.borrow_mut().acquire(agent, now)
    }

    fn message(&self, config_version: u64, document: Option<Document>) -> Welcome {
        Welcome {
            name: self.name.clone(),
            incarnation: self.incarnation,
            entries: self.entries(),
            config_version,
            config: document.map(|d| d.text),
            surplus: false,
            entries_digest: 0,
            centre: self.centre.clone(),
            drains: self.drains.get(),
        }
    }

    async fn keep_exchanging(self: Rc<Self>, entry: SocketAddr) {
        let since = uptime();
        loop {
            if let Ok(link) = dial_within(EXCHANGE_TIMEOUT, entry, &self.token).await {
                self.exchange_until_lost(entry, &link).await;
                link.close();
            }
            let last = self.known.borrow().get(&entry).map(Cell::get).unwrap_or_default();
            let away = uptime().saturating_sub(last.max(since));
            let is_gone = away > self.retention();
            if is_gone && !self.configured.borrow().contains(&entry) {
                self.known.borrow_mut().remove(&entry);
                self.exchange.forget(entry);
                return;
            }
            sleep(if away > STARTING_PERIOD { self.interval() } else { REDIAL_INTERVAL }).await;
        }
    }

    /// Exchanges messages with another entry for as long as the link lasts.
    async fn exchange_until_lost(self: &Rc<Self>, entry: SocketAddr, link: &Link) {
        self.exchange.forget(entry);
        while let Ok(Ok(welcome)) = timeout(EXCHANGE_TIMEOUT, self.meet(entry, link)).await {
            self.apply(entry, &welcome);
            self.exchange.on_version(entry, welcome.config_version);
            sleep(self.interval()).await;
        }
    }

    /// Time between two exchanges with the same entry.
    fn interval(&self) -> Duration {
        let factor = self.known.borrow().len().div_ceil(EXCHANGES_PER_INTERVAL).max(1);
        EXCHANGE_INTERVAL.saturating_mul(factor.try_into().unwrap_or(u32::MAX))
    }

    /// How long an entry without an exchange is kept and passed on.
    fn retention(&self) -> Duration {
        MIN_RETENTION.max(self.interval() * 3)
    }

    async fn meet(&self, entry: SocketAddr, link: &Link) -> wire::Result<Welcome> {
        let mut req = link.entry()?.meet_request();
        Method::Meet.record_call();
        req.get().set_address(self.address.to_string().as_str());
        let seen = match self.exchange.is_inline_only(entry) {
            true => self.fleet.highest_offered(),
            false => SEND_NOTHING,
        };
        write_welcome(req.get().init_known(), &self.message(seen, None));
        let res = req.send().promise.await?;
        read_welcome(res.get()?.get_welcome()?)
    }

    fn apply(self: &Rc<Self>, entry: SocketAddr, welcome: &Welcome) {
        if let Some(last) = self.known.borrow().get(&entry) {
            last.set(uptime());
        }
        // before the configuration: an entry that has one serves jobs
        self.drains.offer(&welcome.drains);
        if let Some(document) = &welcome.config {
            self.fleet.offer(welcome.config_version, document);
        }
        for other in &welcome.entries {
            self.add_entry(*other);
        }
    }
}
