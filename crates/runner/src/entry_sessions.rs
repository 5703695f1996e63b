use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use base::{Event, Name, Token, Uptime, uptime};
use conf::{CurrentFleet, VisitSettings};
use lease::SessionId;
use tokio::time::{sleep, timeout};
use topology::{Rank, ScheduleSettings, VisitSchedule, rank};
use wire::{
    Hello, Link, Method, Welcome, dial_within, egret_capnp::worker, read_welcome, write_hello,
};

use crate::{Driver, Identity, worker::LinkWorker};

/// Longest time for a link to open; far longer than any round trip, and short
/// beside the second after which the network sends a lost first packet again.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between two tries to reach an entry.
const REDIAL_INTERVAL: Duration = Duration::from_millis(100);
/// The same for one that was away for longer than [`SOON`].
const SLOW_REDIAL_INTERVAL: Duration = Duration::from_millis(500);
const FAST_REDIAL_PERIOD: Duration = Duration::from_secs(3);
/// An entry that others named and that was not reached for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Keeps a session with every entry that needs this agent, sees the others now
/// and then, and learns of further entries.
#[derive(Clone)]
pub struct EntrySessions {
    state: Rc<State>,
}

struct State {
    identity: Identity,
    token: Token,
    driver: Rc<Driver>,
    fleet: Arc<CurrentFleet>,
    /// of the settings: tried for as long as the process runs
    configured: RefCell<Vec<SocketAddr>>,
    entries: RefCell<HashMap<SocketAddr, Rc<KnownEntry>>>,
    schedule: VisitSchedule,
    /// entries forgotten so far: those in touch may know better
    forget_count: Cell<u64>,
}

/// An entry that this agent knows of.
struct KnownEntry {
    rank: Rank,
    /// since when it can't be reached
    unreachable_since: Cell<Option<Uptime>>,
}

/// A link and what was said over it.
struct EntryLink {
    link: Link,
    closed: Rc<Cell<bool>>,
    worker: worker::Client,
    /// the worker was handed over
    joined: Cell<bool>,
    session: Cell<Option<SessionId>>,
    /// version that the entry was sent
    config_version: Cell<u64>,
    /// whether the entry was told that work is taken
    sent_ready: Cell<bool>,
    /// list of entries that was sent, and what was forgotten by then
    sent_list: Cell<(u64, u64)>,
    need: Cell<Need>,
}

/// Whether an entry needs this agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Need {
    #[default]
    Needed,
    /// it has enough others, and nothing of it was open
    Closing,
    Surplus,
}

impl EntrySessions {
    pub fn new(
        identity: Identity,
        token: Token,
        driver: Rc<Driver>,
        fleet: Arc<CurrentFleet>,
        visits: &VisitSettings,
    ) -> Self {
        let rounds = ScheduleSettings {
            pinned: visits.pinned,
            interval: Duration::from_secs_f64(visits.interval_ms / 1000.0),
        };
        let state = State {
            identity,
            token,
            driver,
            fleet,
            configured: RefCell::default(),
            entries: RefCell::default(),
            schedule: VisitSchedule::new(rounds),
            forget_count: Cell::default(),
        };
        Self { state: Rc::new(state) }
    }

    /// Greets these entries from now on, beside those known already.
    pub fn set_entries(&self, entries: &[SocketAddr]) {
        *self.state.configured.borrow_mut() = entries.to_vec();
        for entry in entries {
            self.add_entry(*entry);
        }
    }

    fn add_entry(&self, entry: SocketAddr) {
        let mut known = self.state.entries.borrow_mut();
        if known.contains_key(&entry) {
            return;
        }
        let rank = rank(&self.state.identity.name, entry);
        known.insert(entry, Rc::new(KnownEntry { rank, unreachable_since: Cell::default() }));
        Event::EntryDiscovered.note(&[("entry", entry.to_string().as_str().into())]);
        actix::spawn(self.clone().maintain_session(entry));
    }

    async fn maintain_session(self, entry: SocketAddr) {
        let Some(known) = self.state.entries.borrow().get(&entry).cloned() else { return };
        // others that were learnt with it are known as well by now
        sleep(self.state.schedule.first_delay(self.position(&known))).await;
        loop {
            let need = match dial_within(DIAL_TIMEOUT, entry, &self.state.token).await {
                Ok(link) => self.run_session(entry, &known, link).await,
                Err(_) => Need::default(),
            };
            if need == Need::Surplus {
                let entries = self.state.entries.borrow().len();
                sleep(self.state.schedule.revisit_interval(entries)).await;
                continue;
            }
            let since = known.unreachable_since.get().unwrap_or_else(uptime);
            known.unreachable_since.set(Some(since));
            let away = uptime().saturating_sub(since);
            if away > FORGET_AFTER && !self.state.configured.borrow().contains(&entry) {
                self.state.entries.borrow_mut().remove(&entry);
                self.state.forget_count.set(self.state.forget_count.get() + 1);
                return;
            }
            sleep(if away > FAST_REDIAL_PERIOD { SLOW_REDIAL_INTERVAL } else { REDIAL_INTERVAL })
                .await;
        }
    }

    /// Place of an entry in this agent's order of those that can be reached.
    fn position(&self, of: &KnownEntry) -> usize {
        let known = self.state.entries.borrow();
        known.values().filter(|k| k.rank < of.rank && k.unreachable_since.get().is_none()).count()
    }

    /// Extends the session over one link for as long as it works and the entry
    /// needs this agent; gives whether it still does.
    async fn run_session(&self, entry: SocketAddr, known: &KnownEntry, link: Link) -> Need {
        let closed = Rc::new(Cell::new(false));
        let name: Name = entry.to_string().as_str().into();
        let server = LinkWorker::new(self.state.driver.clone(), name, closed.clone());
        let contact = EntryLink {
            link,
            closed,
            worker: capnp_rpc::new_client(server),
            joined: Cell::new(false),
            session: Cell::new(None),
            config_version: Cell::new(0),
            sent_ready: Cell::new(false),
            sent_list: Cell::default(),
            need: Cell::default(),
        };
        let limit = self.state.driver.chain().session_ttl / 2;
        loop {
            match timeout(limit, self.join(&contact, known)).await {
                Ok(Ok(())) => known.unreachable_since.set(None),
                Ok(Err(e)) => {
                    Event::LinkLost.log(format_args!("entry {entry}: {e}"));
                    break;
                }
                Err(_) => {
                    Event::LinkLost.log(format_args!("entry {entry}: no answer in time"));
                    break;
                }
            }
            if contact.need.get() == Need::Surplus || !self.wait_until_due(&contact).await {
                break;
            }
        }
        contact.closed.set(true);
        contact.link.close();
        contact.need.get()
    }

    /// Waits until the entry is to be greeted again; false when the link ended.
    async fn wait_until_due(&self, contact: &EntryLink) -> bool {
        let beat = self.state.driver.chain().heartbeat_interval();
        let step = beat / 4;
        let start = uptime();
        loop {
            sleep(step).await;
            if contact.link.is_down() {
                return false;
            }
            let ready = self.state.driver.load().ready;
            let heard = contact.session.get().and_then(|s| self.state.driver.last_heard(s));
            let age = uptime().saturating_sub(heard.unwrap_or_default());
            // calls of the entry show as well that it lives, but they don't
            // tell an idle entry how much room there is
            let rested = uptime().saturating_sub(start) >= beat * 2;
            if ready != contact.sent_ready.get() || age >= beat || rested {
                return true;
            }
        }
    }

    async fn join(&self, contact: &EntryLink, known: &KnownEntry) -> wire::Result<()> {
        let State { identity, driver, fleet, .. } = &*self.state;
        let snapshot = fleet.get();
        let space = driver.load();
        let behind =
            contact.config_version.get() > 0 && contact.config_version.get() < snapshot.version;
        let sent = uptime();
        let (digest, forgotten) = contact.sent_list.get();
        let hello = Hello {
            name: identity.name.clone(),
            incarnation: identity.incarnation,
            centre: identity.centre.clone(),
            service: identity.service.clone(),
            labels: driver.labels(),
            load: space,
            version: snapshot.version,
            seen: fleet.highest_offered(),
            document: behind.then(|| snapshot.text.clone()),
            sent_at: sent,
            pinned: self.state.schedule.is_pinned(self.position(known)),
            entries_digest: if forgotten == self.state.forget_count.get() { digest } else { 0 },
        };
        let mut req = contact.link.entry()?.join_request();
        Method::Join.record_call();
        write_hello(req.get().init_hello(), &hello);
        if !contact.joined.get() {
            req.get().set_worker(contact.worker.clone());
        }
        let res = req.send().promise.await?;
        let welcome = read_welcome(res.get()?.get_welcome()?)?;
        contact.joined.set(true);
        contact.sent_ready.set(space.ready);
        self.on_welcome(contact, &welcome, sent);
        Ok(())
    }

    fn on_welcome(&self, contact: &EntryLink, welcome: &Welcome, sent: Uptime) {
        let session = SessionId::of(&welcome.name, welcome.incarnation);
        contact.session.set(Some(session));
        contact.config_version.set(welcome.version.max(1));
        contact.sent_list.set((welcome.entries_digest, self.state.forget_count.get()));
        contact.need.set(self.update_need(contact, session, welcome.surplus));
        if contact.need.get() != Need::Surplus {
            self.state.driver.extend_session(session, &welcome.name, sent);
        }
        if let Some(document) = &welcome.document {
            self.state.fleet.offer(welcome.version, document);
        }
        for entry in &welcome.entries {
            self.add_entry(*entry);
        }
    }

    /// The session ends once the entry has said twice that it has enough other
    /// agents: what it placed before the first time was open at the second, and
    /// what was settled by then has reached it.
    fn update_need(&self, contact: &EntryLink, session: SessionId, spare: bool) -> Need {
        let driver = &self.state.driver;
        if !spare {
            return Need::Needed;
        }
        if driver.last_heard(session).is_none() {
            return Need::Surplus;
        }
        if driver.is_open(session) {
            return Need::Needed;
        }
        if contact.need.get() != Need::Closing {
            return Need::Closing;
        }
        driver.close_session(session);
        Need::Surplus
    }
}
