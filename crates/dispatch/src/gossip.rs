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
use tokio::time::{sleep, timeout};
use wire::{Link, Method, Welcome, dial_within, read_welcome, write_welcome};

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

/// Gossip between entries about the entries and the configuration of the fleet.
/// Entries learn of each other from the settings, from the platform's table and
/// from other entries; any of these is enough.
pub struct Gossip {
    name: Name,
    incarnation: u64,
    address: SocketAddr,
    token: Token,
    fleet: Arc<CurrentFleet>,
    /// entries in the settings, which are never forgotten
    configured: RefCell<Vec<SocketAddr>>,
    /// known entries, and the time of the newest exchange
    known: RefCell<BTreeMap<SocketAddr, Cell<Uptime>>>,
}

impl Gossip {
    pub fn new(
        name: Name,
        incarnation: u64,
        address: SocketAddr,
        token: Token,
        fleet: Arc<CurrentFleet>,
    ) -> Rc<Self> {
        Rc::new(Self {
            name,
            incarnation,
            address,
            token,
            fleet,
            configured: RefCell::default(),
            known: RefCell::default(),
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

    /// Message for an entry that has seen the version `seen`.
    pub fn welcome(&self, seen: u64) -> Welcome {
        let snapshot = self.fleet.get();
        let is_behind = seen < snapshot.version;
        Welcome {
            name: self.name.clone(),
            incarnation: self.incarnation,
            entries: self.entries(),
            config_version: if is_behind { snapshot.version } else { self.fleet.highest_offered() },
            config: is_behind.then(|| snapshot.text.clone()),
            surplus: false,
            entries_digest: 0,
        }
    }

    /// This entry and those with a recent exchange.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let (now, retention) = (uptime(), self.retention());
        let known = self.known.borrow();
        let recent =
            known.iter().filter(|(_, at)| at.get() + retention > now && !at.get().is_zero());
        recent.map(|(entry, _)| *entry).chain([self.address]).collect()
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
                return;
            }
            sleep(if away > STARTING_PERIOD { self.interval() } else { REDIAL_INTERVAL }).await;
        }
    }

    /// Exchanges messages with another entry for as long as the link lasts.
    async fn exchange_until_lost(self: &Rc<Self>, entry: SocketAddr, link: &Link) {
        let mut seen = 0;
        while let Ok(Ok(welcome)) = timeout(EXCHANGE_TIMEOUT, self.exchange(link, seen)).await {
            seen = welcome.config_version;
            self.apply(entry, &welcome);
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

    async fn exchange(&self, link: &Link, seen: u64) -> wire::Result<Welcome> {
        let mut req = link.entry()?.meet_request();
        Method::Meet.record_call();
        req.get().set_address(self.address.to_string().as_str());
        let known = match seen {
            // the version of the other entry isn't known yet
            0 => self.welcome(u64::MAX),
            seen => self.welcome(seen),
        };
        write_welcome(req.get().init_known(), &known);
        let res = req.send().promise.await?;
        read_welcome(res.get()?.get_welcome()?)
    }

    fn apply(self: &Rc<Self>, entry: SocketAddr, welcome: &Welcome) {
        if let Some(last) = self.known.borrow().get(&entry) {
            last.set(uptime());
        }
        if let Some(document) = &welcome.config {
            self.fleet.offer(welcome.config_version, document);
        }
        for other in &welcome.entries {
            self.add_entry(*other);
        }
    }
}
