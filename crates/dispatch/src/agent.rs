use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::{Name, Uptime, uptime};
use lease::{AgentLoad, Resources};
use tokio::sync::Notify;
use topology::{Candidate, Rank};
use wire::{Hello, egret_capnp::worker};

use crate::AgentReport;

/// One life of an agent as this entry sees it.
pub struct Agent {
    pub name: Name,
    pub incarnation: u64,
    pub service: Name,
    pub labels: RefCell<Rc<[Name]>>,
    /// its place among the agents of this entry
    rank: Rank,
    /// counts on this entry
    firm: Cell<bool>,
    /// there are enough others: it gets no work, and leaves
    pub surplus: Cell<bool>,
    /// its newest link
    link: RefCell<Linked>,
    /// when its newest greeting came, on our clock
    heard: Cell<Uptime>,
    /// when that greeting was sent, on the agent's clock
    sent: Cell<Uptime>,
    /// latest time at which it may have learnt that this entry lives
    shown: Cell<Uptime>,
    space: Cell<AgentLoad>,
    /// version of the configuration that it goes by
    version: Cell<u64>,
    /// what was sent since the space was reported
    unreported: Cell<Resources>,
    /// a greeting came, or the link was replaced
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
            labels: RefCell::new(hello.labels.as_slice().into()),
            rank,
            firm: Cell::new(hello.pinned),
            surplus: Cell::default(),
            link: RefCell::new(Linked { number: 1, worker }),
            heard: Cell::new(uptime()),
            sent: Cell::new(hello.sent_at),
            shown: Cell::new(uptime()),
            space: Cell::new(hello.load),
            version: Cell::new(hello.version),
            unreported: Cell::default(),
            changed: Notify::new(),
        }
    }

    /// Notes a greeting; `worker` is set when it came over a new link.
    pub fn on_heartbeat(&self, hello: &Hello, worker: Option<worker::Client>) {
        if let Some(worker) = worker {
            let number = self.link.borrow().number + 1;
            *self.link.borrow_mut() = Linked { number, worker };
        }
        if hello.sent_at >= self.sent.get() {
            self.sent.set(hello.sent_at);
            self.heard.set(uptime());
            *self.labels.borrow_mut() = hello.labels.as_slice().into();
            self.firm.set(hello.pinned);
            self.version.set(hello.version);
            self.set_load(hello.load);
        }
        self.shown.set(uptime());
        self.changed.notify_waiters();
    }

    /// Notes the space that a reply or a greeting told.
    pub fn set_load(&self, space: AgentLoad) {
        self.space.set(space);
        self.unreported.set(Resources::default());
    }

    /// How it stands, for operators.
    pub fn report(&self) -> AgentReport {
        let space = self.load();
        AgentReport {
            name: self.name.clone(),
            service: self.service.clone(),
            incarnation: self.incarnation,
            version: self.version.get(),
            ready: space.ready,
            capacity_cpu: space.capacity.cpu,
            free_cpu: space.free.cpu,
            wait_ms: space.expected_wait.as_millis() as u64,
            slowness: space.slowness,
            suspect: space.suspect,
            spare: self.surplus.get(),
            unheard_ms: self.since_heartbeat().as_millis() as u64,
        }
    }

    /// How it stands beside other agents of its service.
    pub fn candidate(&self) -> Candidate {
        Candidate {
            rank: self.rank,
            labels: self.labels.borrow().clone(),
            ready: self.load().ready,
            pinned: self.firm.get(),
        }
    }

    pub fn load(&self) -> AgentLoad {
        self.space.get()
    }

    pub fn unreported(&self) -> Resources {
        self.unreported.get()
    }

    /// Counts tasks that are being sent.
    pub fn count_sent(&self, size: Resources, count: u32) {
        self.unreported.set(self.unreported.get().plus(size.times(count)));
    }

    /// How long it has been silent.
    pub fn since_heartbeat(&self) -> Uptime {
        uptime().saturating_sub(self.heard.get())
    }

    /// Latest time on the agent's clock at which this entry is known to live:
    /// its newest greeting was sent at least as long ago as we know it.
    pub fn alive_at(&self) -> Uptime {
        self.shown.set(uptime());
        self.sent.get() + self.since_heartbeat()
    }

    /// Latest time at which it may have learnt that this entry lives.
    pub fn last_contact(&self) -> Uptime {
        self.shown.get()
    }

    /// Number of its newest link, and the way to call it.
    pub fn link(&self) -> (u64, worker::Client) {
        let link = self.link.borrow();
        (link.number, link.worker.clone())
    }
}
