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

/// How often the other entries are met, in a small fleet: a new one is known
/// to all agents within about two of these.
const MEET: Duration = Duration::from_millis(700);
/// Entries met in that time; of more, each is met more rarely, so that an
/// entry's meetings don't grow with them.
const MET_EACH: usize = 8;
const MEET_LIMIT: Duration = Duration::from_millis(300);
/// The same for one that can't be reached, while it may just be starting.
const REDIAL: Duration = Duration::from_millis(100);
const SOON: Duration = Duration::from_secs(4);
/// Shortest time after which an entry that can't be met is forgotten.
const FORGET: Duration = Duration::from_secs(20);

/// What this entry knows of the others. Entries meet those that the settings
/// or the platform's table name and those that others told them of, so that
/// either way alone is enough.
pub struct Gossip {
    name: Name,
    incarnation: u64,
    address: SocketAddr,
    token: Token,
    fleet: Arc<CurrentFleet>,
    /// of the settings: tried for as long as the process runs
    named: RefCell<Vec<SocketAddr>>,
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
            named: RefCell::default(),
            known: RefCell::default(),
        })
    }

    /// Meets these entries from now on, beside those known already.
    pub fn set_entries(self: &Rc<Self>, entries: &[SocketAddr]) {
        *self.named.borrow_mut() = entries.to_vec();
        for entry in entries {
            self.add_entry(*entry);
        }
    }

    /// Learns of an entry.
    pub fn add_entry(self: &Rc<Self>, entry: SocketAddr) {
        if entry == self.address || self.known.borrow().contains_key(&entry) {
            return;
        }
        self.known.borrow_mut().insert(entry, Cell::new(Uptime::ZERO));
        Event::EntryDiscovered.note(&[("entry", entry.to_string().as_str().into())]);
        actix::spawn(self.clone().keep_meeting(entry));
    }

    /// Another entry said where it is and what it knows.
    pub fn on_meet(self: &Rc<Self>, entry: SocketAddr, known: &Welcome) {
        self.add_entry(entry);
        self.take(entry, known);
    }

    /// What this entry tells one that has seen some version.
    pub fn welcome(&self, seen: u64) -> Welcome {
        let snapshot = self.fleet.get();
        let behind = seen < snapshot.version;
        Welcome {
            name: self.name.clone(),
            incarnation: self.incarnation,
            entries: self.entries(),
            version: if behind { snapshot.version } else { self.fleet.highest_offered() },
            document: behind.then(|| snapshot.text.clone()),
            surplus: false,
            entries_digest: 0,
        }
    }

    /// This entry and those that were met lately.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let (now, forget) = (uptime(), self.forget());
        let known = self.known.borrow();
        let met = known.iter().filter(|(_, at)| at.get() + forget > now && !at.get().is_zero());
        met.map(|(entry, _)| *entry).chain([self.address]).collect()
    }

    async fn keep_meeting(self: Rc<Self>, entry: SocketAddr) {
        let since = uptime();
        loop {
            if let Ok(link) = dial_within(MEET_LIMIT, entry, &self.token).await {
                self.meet(entry, &link).await;
                link.close();
            }
            let met = self.known.borrow().get(&entry).map(Cell::get).unwrap_or_default();
            let away = uptime().saturating_sub(met.max(since));
            let gone = away > self.forget();
            if gone && !self.named.borrow().contains(&entry) {
                self.known.borrow_mut().remove(&entry);
                return;
            }
            sleep(if away > SOON { self.rest() } else { REDIAL }).await;
        }
    }

    /// Meets another entry for as long as the link lasts.
    async fn meet(self: &Rc<Self>, entry: SocketAddr, link: &Link) {
        let mut theirs = 0;
        while let Ok(Ok(welcome)) = timeout(MEET_LIMIT, self.tell(link, theirs)).await {
            theirs = welcome.version;
            self.take(entry, &welcome);
            sleep(self.rest()).await;
        }
    }

    /// Between two meetings with the same entry.
    fn rest(&self) -> Duration {
        let each = self.known.borrow().len().div_ceil(MET_EACH).max(1);
        MEET.saturating_mul(each.try_into().unwrap_or(u32::MAX))
    }

    /// An entry that nobody could meet for so long is no longer passed on.
    fn forget(&self) -> Duration {
        FORGET.max(self.rest() * 3)
    }

    async fn tell(&self, link: &Link, theirs: u64) -> wire::Result<Welcome> {
        let mut req = link.entry()?.meet_request();
        Method::Meet.record_call();
        req.get().set_address(self.address.to_string().as_str());
        let known = match theirs {
            // what they have isn't known yet
            0 => self.welcome(u64::MAX),
            seen => self.welcome(seen),
        };
        write_welcome(req.get().init_known(), &known);
        let res = req.send().promise.await?;
        read_welcome(res.get()?.get_welcome()?)
    }

    fn take(self: &Rc<Self>, entry: SocketAddr, welcome: &Welcome) {
        if let Some(met) = self.known.borrow().get(&entry) {
            met.set(uptime());
        }
        if let Some(document) = &welcome.document {
            self.fleet.offer(welcome.version, document);
        }
        for other in &welcome.entries {
            self.add_entry(*other);
        }
    }
}
