use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use base::{Event, Name, Token};
use conf::CurrentFleet;
use tokio::time::sleep;
use topology::rank;
use wire::{Document, Fetched, fetch_document, send_document};

/// Times of the transfers that a process starts.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeSettings {
    /// time from hearing of a newer version to the first call, if another version is
    /// in force; an entry usually reads it from the store within that time
    pub delay: Duration,
    /// time between two calls
    pub retry_interval: Duration,
}

impl Default for ExchangeSettings {
    fn default() -> Self {
        Self { delay: Duration::ZERO, retry_interval: Duration::from_millis(200) }
    }
}

/// Keeps the configuration of this process and of entries up to date, with one
/// transfer at a time.
pub struct ConfigExchange {
    name: Name,
    token: Token,
    fleet: Arc<CurrentFleet>,
    settings: ExchangeSettings,
    entries: RefCell<BTreeMap<SocketAddr, PeerVersion>>,
    is_fetching: Cell<bool>,
    is_sending: Cell<bool>,
}

/// What is known of an entry's configuration.
#[derive(Clone, Copy, Debug, Default)]
struct PeerVersion {
    version: u64,
    /// version that it announced, but couldn't send
    missing: u64,
    /// whether it is older than the call for documents
    inline_only: bool,
}

impl ConfigExchange {
    pub fn new(
        name: Name,
        token: Token,
        fleet: Arc<CurrentFleet>,
        settings: ExchangeSettings,
    ) -> Rc<Self> {
        Rc::new(Self {
            name,
            token,
            fleet,
            settings,
            entries: RefCell::default(),
            is_fetching: Cell::default(),
            is_sending: Cell::default(),
        })
    }

    /// Handles the version that an entry has announced; fetches a newer one.
    pub fn on_version(self: &Rc<Self>, entry: SocketAddr, version: u64) {
        self.entries.borrow_mut().entry(entry).or_default().version = version;
        if self.is_fetching.get() || self.candidates().is_empty() {
            return;
        }
        self.is_fetching.set(true);
        actix::spawn(self.clone().fetch_newest());
    }

    /// Sends the configuration in force to an entry that needs it, unless another
    /// transfer is in progress.
    pub fn send(self: &Rc<Self>, entry: SocketAddr) {
        if self.is_inline_only(entry) || self.is_sending.replace(true) {
            return;
        }
        actix::spawn(self.clone().send_to(entry));
    }

    /// Whether an entry sends and takes documents only with heartbeats.
    pub fn is_inline_only(&self, entry: SocketAddr) -> bool {
        self.entries.borrow().get(&entry).is_some_and(|e| e.inline_only)
    }

    /// Forgets an entry: another process may listen there next.
    pub fn forget(&self, entry: SocketAddr) {
        self.entries.borrow_mut().remove(&entry);
    }

    async fn fetch_newest(self: Rc<Self>) {
        if self.fleet.version() > 0 {
            sleep(self.settings.delay).await;
        }
        for attempt in 0.. {
            let candidates = self.candidates();
            // every process begins with another entry
            let Some(entry) = candidates.get(attempt % candidates.len().max(1)) else { break };
            self.fetch_from(*entry).await;
            if self.candidates().is_empty() {
                break;
            }
            sleep(self.settings.retry_interval).await;
        }
        self.is_fetching.set(false);
    }

    /// Entries with a newer version, in this process's order.
    fn candidates(&self) -> Vec<SocketAddr> {
        let highest = self.fleet.highest_offered();
        let entries = self.entries.borrow();
        let newer = entries
            .iter()
            .filter(|(_, e)| e.version > highest && e.version != e.missing && !e.inline_only);
        let mut newer: Vec<SocketAddr> = newer.map(|(entry, _)| *entry).collect();
        newer.sort_by_cached_key(|e| rank(&self.name, *e));
        newer
    }

    async fn fetch_from(&self, entry: SocketAddr) {
        let seen = self.fleet.highest_offered();
        match fetch_document(entry, &self.token, &self.name, seen).await {
            Ok(Fetched::Document(document)) => self.fleet.offer(document.version, &document.text),
            Ok(Fetched::Busy) => {}
            Ok(Fetched::Missing) => self.update(entry, |e| e.missing = e.version),
            Err(e) => self.on_error(entry, &e),
        }
    }

    async fn send_to(self: Rc<Self>, entry: SocketAddr) {
        let snapshot = self.fleet.get();
        let document = Document { version: snapshot.version, text: snapshot.text.clone() };
        if let Err(e) = send_document(entry, &self.token, &self.name, &document).await {
            self.on_error(entry, &e);
        }
        self.is_sending.set(false);
    }

    fn on_error(&self, entry: SocketAddr, error: &wire::Error) {
        if let wire::Error::Unsupported(_) = error {
            return self.update(entry, |e| e.inline_only = true);
        }
        Event::LinkLost.log(format_args!("configuration, entry {entry}: {error}"));
        // the next heartbeat tells whether it is there
        self.update(entry, |e| e.version = 0);
    }

    fn update(&self, entry: SocketAddr, change: impl FnOnce(&mut PeerVersion)) {
        if let Some(peer) = self.entries.borrow_mut().get_mut(&entry) {
            change(peer);
        }
    }
}
