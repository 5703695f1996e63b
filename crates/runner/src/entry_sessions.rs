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
use config_sync::{ConfigExchange, ExchangeSettings};
use drain::{CurrentDrains, Drains};
use lease::{CentreState, SessionId};
use tokio::time::{sleep, timeout};
use topology::{Rank, ScheduleSettings, VisitSchedule, rank};
use wire::{
    Hello, Link, Method, SEND_NOTHING, Welcome, dial_within, egret_capnp::worker, read_welcome,
    write_hello,
};

use crate::{Driver, Identity, link_state::LinkState, worker::LinkWorker};

/// Limit for connecting to an entry: far longer than any round trip, and much
/// shorter than the second after which TCP retransmits a lost SYN.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay between two attempts to connect to an entry.
const REDIAL_INTERVAL: Duration = Duration::from_millis(100);
/// The same for an entry that was unreachable for longer than [`FAST_REDIAL_PERIOD`].
const SLOW_REDIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time since an entry became unreachable after which it is dialled less often.
const FAST_REDIAL_PERIOD: Duration = Duration::from_secs(3);
/// An entry that is not in the settings is forgotten when unreachable for this long.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Sessions with the entries that need this agent, and with the pinned ones, to
/// which it always stays connected. Entries that have enough other agents are
/// visited with a heartbeat from time to time; further entries are discovered
/// through all of them.
#[derive(Clone)]
pub struct EntrySessions {
    state: Rc<State>,
}

struct State {
    identity: Identity,
    token: Token,
    driver: Rc<Driver>,
    fleet: Arc<CurrentFleet>,
    drains: Arc<CurrentDrains>,
    exchange: Rc<ConfigExchange>,
    /// entries in the settings, never forgotten
    configured: RefCell<Vec<SocketAddr>>,
    entries: RefCell<HashMap<SocketAddr, Rc<KnownEntry>>>,
    schedule: VisitSchedule,
    /// number of entries forgotten so far: after a change, the full list is
    /// requested again, as connected entries may still know them
    forget_count: Cell<u64>,
}

struct KnownEntry {
    rank: Rank,
    unreachable_since: Cell<Option<Uptime>>,
}

/// Link to an entry, and what was exchanged over it.
struct EntryLink {
    link: Link,
    state: Rc<LinkState>,
    worker: worker::Client,
    session: Cell<Option<SessionId>>,
    /// configuration version of the entry; 0 before its first answer
    config_version: Cell<u64>,
    /// last readiness sent to the entry
    sent_ready: Cell<bool>,
    /// digest of the last list of entries received, and `forget_count` at that time
    received_list: Cell<(u64, u64)>,
    need: Cell<Need>,
}

/// Whether an entry needs this agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Need {
    #[default]
    Needed,
    /// the entry has enough other agents and had no open work here; its next answer
    /// is to confirm that
    Closing,
    /// the entry has enough other agents and has no session here
    Surplus,
}

impl EntrySessions {
    pub fn new(
        identity: Identity,
        token: Token,
        driver: Rc<Driver>,
        fleet: Arc<CurrentFleet>,
        drains: Arc<CurrentDrains>,
        visits: &VisitSettings,
    ) -> Self {
        let schedule = ScheduleSettings {
            pinned: visits.pinned,
            interval: Duration::from_secs_f64(visits.interval_ms / 1000.0),
        };
        let exchange = ConfigExchange::new(
            identity.name.clone(),
            token.clone(),
            fleet.clone(),
            ExchangeSettings::default(),
        );
        let state = State {
            identity,
            token,
            driver,
            fleet,
            drains,
            exchange,
            configured: RefCell::default(),
            entries: RefCell::default(),
            schedule: VisitSchedule::new(schedule),
            forget_count: Cell::default(),
        };
        Self { state: Rc::new(state) }
    }

    /// Replaces the configured entries; known ones are kept.
    pub fn set_entries(&self, entries: &[SocketAddr]) {
        *self.state.configured.borrow_mut() = entries.to_vec();
        for entry in entries {
            self.add_entry(*entry);
        }
    }

    fn add_entry(&self, entry: SocketAddr) {
        let mut entries = self.state.entries.borrow_mut();
        if entries.contains_key(&entry) {
            return;
        }
        let rank = rank(&self.state.identity.name, entry);
        entries.insert(entry, Rc::new(KnownEntry { rank, unreachable_since: Cell::default() }));
        Event::EntryDiscovered.note(&[("entry", entry.to_string().as_str().into())]);
        actix::spawn(self.clone().maintain_session(entry));
    }

    async fn maintain_session(self, entry: SocketAddr) {
        let Some(known) = self.state.entries.borrow().get(&entry).cloned() else { return };
        // spawned tasks run only after the caller's loop has added all entries, so
        // that the position counts those discovered together with this one
        sleep(self.state.schedule.first_delay(self.position(&known))).await;
        loop {
            let need = match dial_within(DIAL_TIMEOUT, entry, &self.state.token).await {
                Ok(link) => self.run_session(entry, &known, link).await,
                Err(_) => Need::default(),
            };
            if need == Need::Surplus {
                let count = self.state.entries.borrow().len();
                sleep(self.state.schedule.revisit_interval(count)).await;
                continue;
            }
            let since = known.unreachable_since.get().unwrap_or_else(uptime);
            known.unreachable_since.set(Some(since));
            let outage = uptime().saturating_sub(since);
            if outage > FORGET_AFTER && !self.state.configured.borrow().contains(&entry) {
                self.state.entries.borrow_mut().remove(&entry);
                self.state.exchange.forget(entry);
                self.state.forget_count.set(self.state.forget_count.get() + 1);
                return;
            }
            sleep(if outage > FAST_REDIAL_PERIOD { SLOW_REDIAL_INTERVAL } else { REDIAL_INTERVAL })
                .await;
        }
    }

    /// Position of an entry in this agent's order of the reachable ones.
    fn position(&self, of: &KnownEntry) -> usize {
        let entries = self.state.entries.borrow();
        entries.values().filter(|k| k.rank < of.rank && k.unreachable_since.get().is_none()).count()
    }

    /// Extends the session over one link until the link fails or the entry no
    /// longer needs this agent; returns the last known need.
    async fn run_session(&self, entry: SocketAddr, known: &KnownEntry, link: Link) -> Need {
        self.state.exchange.forget(entry);
        let state = Rc::<LinkState>::default();
        let name: Name = entry.to_string().as_str().into();
        let server = LinkWorker::new(self.state.driver.clone(), name, state.clone());
        let peer = EntryLink {
            link,
            state,
            worker: capnp_rpc::new_client(server),
            session: Cell::new(None),
            config_version: Cell::new(0),
            sent_ready: Cell::new(false),
            received_list: Cell::default(),
            need: Cell::default(),
        };
        let limit = self.state.driver.timings().session_ttl / 2;
        loop {
            match timeout(limit, self.join(&peer, known)).await {
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
            if peer.need.get() == Need::Surplus || !self.wait_until_due(&peer).await {
                break;
            }
        }
        peer.state.close();
        peer.link.close();
        peer.need.get()
    }

    /// Waits until a heartbeat is due or this agent's readiness has changed;
    /// returns false if the link has ended.
    async fn wait_until_due(&self, peer: &EntryLink) -> bool {
        let driver = &self.state.driver;
        let last_report = uptime();
        loop {
            let ready_changed = driver.ready_changed.notified();
            if peer.link.is_down() {
                return false;
            }
            let has_new_life = driver.life() != peer.state.known_life();
            if driver.is_ready() != peer.sent_ready.get() || has_new_life {
                return true;
            }
            let session = peer.session.get();
            let due = driver.timings().heartbeat_due(
                last_report,
                session.and_then(|s| driver.last_seen(s)),
                session.is_some_and(|s| driver.has_open_work(s)),
            );
            let left = due.saturating_sub(uptime());
            if left.is_zero() {
                return true;
            }
            tokio::select! {
                () = sleep(left) => {}
                () = ready_changed => {}
                () = peer.link.wait_down() => {}
            }
        }
    }

    /// Sends a heartbeat and handles the answer.
    async fn join(&self, peer: &EntryLink, known: &KnownEntry) -> wire::Result<()> {
        let State { identity, driver, fleet, drains, exchange, .. } = &*self.state;
        let snapshot = fleet.get();
        let (load, life) = (driver.load(), driver.life());
        let inline = exchange.is_inline_only(peer.link.address());
        let known_version = peer.config_version.get();
        let behind = known_version > 0 && known_version < snapshot.version;
        let sent_at = uptime();
        let (digest, forget_count) = peer.received_list.get();
        let hello = Hello {
            name: identity.name.clone(),
            incarnation: identity.incarnation,
            centre: identity.centre.clone(),
            service: identity.service.clone(),
            labels: driver.labels(),
            load,
            config_version: snapshot.version,
            highest_offered: if inline { fleet.highest_offered() } else { SEND_NOTHING },
            config: (behind && inline).then(|| snapshot.text.clone()),
            sent_at,
            pinned: self.state.schedule.is_pinned(self.position(known)),
            // 0 requests the full list
            entries_digest: if forget_count == self.state.forget_count.get() { digest } else { 0 },
            drains: drains.get(),
            crash: driver.crash_report(),
        };
        let mut req = peer.link.entry()?.join_request();
        Method::Join.record_call();
        write_hello(req.get().init_hello(), &hello);
        if !peer.state.is_joined() {
            req.get().set_worker(peer.worker.clone());
        }
        let res = req.send().promise.await?;
        let welcome = read_welcome(res.get()?.get_welcome()?)?;
        peer.sent_ready.set(load.ready);
        peer.state.set_known_life(life);
        self.on_welcome(peer, &welcome, sent_at);
        // the entry has `worker` now, and what it knows of drains is in force
        peer.state.set_joined();
        Ok(())
    }

    fn on_welcome(&self, peer: &EntryLink, welcome: &Welcome, sent_at: Uptime) {
        // before the session is extended, so that no task is taken in a drained data centre
        self.apply_drains(&welcome.drains);
        let session = SessionId::of(&welcome.name, welcome.incarnation);
        peer.session.set(Some(session));
        // 0 would mean that there was no answer yet
        peer.config_version.set(welcome.config_version.max(1));
        peer.received_list.set((welcome.entries_digest, self.state.forget_count.get()));
        peer.need.set(self.next_need(peer, session, welcome.surplus));
        if peer.need.get() != Need::Surplus {
            self.state.driver.extend_session(session, &welcome.name, sent_at);
            self.state.driver.set_centre(session, &welcome.centre);
        }
        if let Some(document) = &welcome.config {
            self.state.fleet.offer(welcome.config_version, document);
        }
        let entry = peer.link.address();
        self.state.exchange.on_version(entry, welcome.config_version);
        if welcome.config_version < self.state.fleet.version() {
            self.state.exchange.send(entry);
        }
        for entry in &welcome.entries {
            self.add_entry(*entry);
        }
    }

    fn apply_drains(&self, offered: &Drains) {
        let State { identity, driver, drains, .. } = &*self.state;
        drains.offer(offered);
        driver.set_centre_state(match drains.is_drained(&identity.centre) {
            true => CentreState::Drained,
            false => CentreState::InUse,
        });
    }

    /// Next need of an entry; closes the session of one that becomes surplus. An
    /// entry without a session is surplus at its first report that it has enough
    /// other agents, any other at the second in a row; open work resets the count.
    /// By the second report, tasks placed before the first one show as open work,
    /// and the results of ended tasks have reached the entry.
    fn next_need(&self, peer: &EntryLink, session: SessionId, surplus: bool) -> Need {
        let driver = &self.state.driver;
        if !surplus {
            return Need::Needed;
        }
        if driver.last_seen(session).is_none() {
            return Need::Surplus;
        }
        if driver.has_open_work(session) {
            return Need::Needed;
        }
        if peer.need.get() != Need::Closing {
            return Need::Closing;
        }
        driver.close_session(session);
        Need::Surplus
    }
}
