use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::{Name, Uptime, uptime};
use lease::{AgentLoad, CLASSES, Class, Resources};
use tokio::sync::Notify;
use topology::{Candidate, Rank};
use wire::{Hello, egret_capnp::worker};

use crate::AgentReport;

/// One incarnation of an agent, as known to this entry.
pub struct Agent {
    pub name: Name,
    pub incarnation: u64,
    pub service: Name,
    pub centre: Name,
    pub labels: RefCell<Rc<[Name]>>,
    rank: Rank,
    /// stays connected to this entry whether needed or not
    pinned: Cell<bool>,
    /// not needed beside the others: gets no work, and disconnects
    pub surplus: Cell<bool>,
    /// newest link
    link: RefCell<Linked>,
    /// when the newest heartbeat came, on our clock
    last_heartbeat: Cell<Uptime>,
    /// when that heartbeat was sent, on the agent's clock
    sent_at: Cell<Uptime>,
    /// latest time at which the agent may have learnt that this entry is alive
    last_contact: Cell<Uptime>,
    /// its open work got no heartbeat in time; it gets no more until the next one
    unreachable: Cell<bool>,
    load: Cell<AgentLoad>,
    /// version of the configuration in force there
    version: Cell<u64>,
    /// number of the newest crash of its backend server
    last_crash: Cell<u64>,
    /// resources of the tasks of each class sent since the load was reported
    unreported: Cell<[Resources; CLASSES]>,
    /// notified of each heartbeat and of a replaced link
    pub changed: Notify,
}

#[derive(Clone)]
struct Linked {
    number: u64,
    worker: worker::Client,
}

impl Agent {
    pub fn new(hello: &Hello, worker: worker::Client, rank: Rank) -> Self {
        Self {
            name: hello.name.clone(),
            incarnation: hello.incarnation,
            service: hello.service.clone(),
            centre: hello.centre.clone(),
            labels: RefCell::new(hello.labels.as_slice().into()),
            rank,
            pinned: Cell::new(hello.pinned),
            surplus: Cell::default(),
            link: RefCell::new(Linked { number: 1, worker }),
            last_heartbeat: Cell::new(uptime()),
            sent_at: Cell::new(hello.sent_at),
            last_contact: Cell::new(uptime()),
            unreachable: Cell::default(),
            load: Cell::new(hello.load),
            version: Cell::new(hello.config_version),
            last_crash: Cell::default(),
            unreported: Cell::default(),
            changed: Notify::new(),
        }
    }

    /// Handles a heartbeat; `worker` is set when it came over a new link.
    pub fn on_heartbeat(&self, hello: &Hello, worker: Option<worker::Client>) {
        if let Some(worker) = worker {
            let number = self.link.borrow().number + 1;
            *self.link.borrow_mut() = Linked { number, worker };
        }
        if hello.sent_at >= self.sent_at.get() {
            self.sent_at.set(hello.sent_at);
            self.last_heartbeat.set(uptime());
            self.unreachable.set(false);
            *self.labels.borrow_mut() = hello.labels.as_slice().into();
            self.pinned.set(hello.pinned);
            self.version.set(hello.config_version);
            self.set_load(hello.load);
        }
        self.last_contact.set(uptime());
        self.changed.notify_waiters();
    }

    /// Records the load reported by a reply or a heartbeat.
    pub fn set_load(&self, load: AgentLoad) {
        self.load.set(load);
        self.unreported.set(Default::default());
    }

    /// Whether a reported crash is a new one.
    pub fn note_crash(&self, number: u64) -> bool {
        self.last_crash.replace(number.max(self.last_crash.get())) < number
    }

    /// Status for operators.
    pub fn report(&self) -> AgentReport {
        let load = self.load();
        AgentReport {
            name: self.name.clone(),
            service: self.service.clone(),
            centre: self.centre.clone(),
            incarnation: self.incarnation,
            version: self.version.get(),
            ready: load.ready,
            capacity_cpu: load.capacity.cpu,
            free_cpu: load.free.cpu,
            wait_ms: load.expected_wait.as_millis() as u64,
            slowness: load.slowness,
            suspect: load.suspect,
            surplus: self.surplus.get(),
            since_heartbeat_ms: self.since_heartbeat().as_millis() as u64,
        }
    }

    /// Its properties in the selection of agents.
    pub fn candidate(&self) -> Candidate {
        Candidate {
            rank: self.rank,
            labels: self.labels.borrow().clone(),
            ready: self.load().ready,
            pinned: self.pinned.get(),
        }
    }

    pub fn load(&self) -> AgentLoad {
        self.load.get()
    }

    pub fn unreported(&self) -> [Resources; CLASSES] {
        self.unreported.get()
    }

    /// Counts tasks about to be sent.
    pub fn count_sent(&self, class: Class, resources: Resources, count: u32) {
        let mut unreported = self.unreported.get();
        let of_class = &mut unreported[class.index()];
        *of_class = of_class.plus(resources.times(count));
        self.unreported.set(unreported);
    }

    /// Records that its open work got no heartbeat in time.
    pub fn set_unreachable(&self) {
        self.unreachable.set(true);
    }

    pub fn is_unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// Time since the newest heartbeat.
    pub fn since_heartbeat(&self) -> Uptime {
        self.silence_at(uptime())
    }

    /// Time from the newest heartbeat to `now`.
    pub fn silence_at(&self, now: Uptime) -> Uptime {
        now.saturating_sub(self.last_heartbeat.get())
    }

    /// A time on the agent's clock at which this entry is alive: the newest
    /// heartbeat was sent at least as long ago as it was received.
    pub fn alive_at(&self) -> Uptime {
        self.last_contact.set(uptime());
        self.sent_at.get() + self.since_heartbeat()
    }

    /// Latest time at which the agent may have learnt that this entry is alive.
    pub fn last_contact(&self) -> Uptime {
        self.last_contact.get()
    }

    /// Number of the newest link, and the client for calls over it.
    pub fn link(&self) -> (u64, worker::Client) {
        let link = self.link.borrow();
        (link.number, link.worker.clone())
    }
}
