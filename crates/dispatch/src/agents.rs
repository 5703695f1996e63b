use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use base::{Event, Name, Uptime, uptime};
use drain::{CurrentDrains, DrainedCentre};
use lease::CrashReport;
use placement::ClassBacklog;
use topology::{AgentSelector, Candidate, SelectorSettings, first_by_hash, rank};
use wire::{Hello, egret_capnp::worker};

use crate::{
    AgentReport, BacklogReport, ConfinedQueue, Confinement, Contact, CrashSite, DrainReport, Job,
    agent::Agent, backlog::Backlog,
};

/// Time without a heartbeat after which an agent is forgotten; its machine is gone.
const AGENT_RETENTION: Duration = Duration::from_secs(60);

/// One of so many agents takes the jobs of confined queues, and no others.
const CONFINED_DIVISOR: usize = 4;

/// The agents known to this entry, only by their heartbeats.
pub struct Agents {
    /// address of this entry
    address: SocketAddr,
    /// an agent without a heartbeat for longer gets no work
    heartbeat_timeout: Duration,
    selector: RefCell<AgentSelector>,
    known: RefCell<BTreeMap<Name, Rc<Agent>>>,
    drains: Arc<CurrentDrains>,
    confinement: RefCell<Confinement>,
    /// contact with all of them
    pub contact: Contact,
    /// jobs that wait for free capacity
    pub backlog: Rc<Backlog>,
}

impl Agents {
    pub fn new(
        address: SocketAddr,
        target_agents: usize,
        heartbeat_timeout: Duration,
        drains: Arc<CurrentDrains>,
    ) -> Rc<Self> {
        Rc::new(Self {
            address,
            heartbeat_timeout,
            selector: RefCell::new(AgentSelector::new(SelectorSettings { target_agents })),
            known: RefCell::default(),
            drains,
            confinement: RefCell::default(),
            contact: Contact::new(heartbeat_timeout, uptime()),
            backlog: Rc::default(),
        })
    }

    /// Sets the number of entries in the fleet, this one included.
    pub fn set_entries(&self, entries: usize) {
        self.selector.borrow_mut().set_entries(entries);
    }

    /// Handles a heartbeat; `worker` is set in the first one over a link. Gives
    /// whether the agent is surplus.
    pub fn on_heartbeat(&self, hello: &Hello, worker: Option<worker::Client>) -> bool {
        self.contact.record(uptime());
        self.update(hello, worker);
        let Some(agent) = self.get(&hello.name) else { return false };
        if let Some(crash) = hello.crash.as_ref().filter(|crash| agent.note_crash(crash.number)) {
            self.on_crash(&agent, crash);
        }
        let surplus = self.is_surplus(&agent);
        // visiting agents are usually surplus, which is not worth a log line
        let is_visit = hello.entries_digest == 0;
        if surplus && !agent.surplus.get() && !is_visit {
            Event::AgentSurplus.note(&[
                ("agent", (&*agent.name).into()),
                ("agents", (self.known.borrow().len() as u64).into()),
            ]);
        }
        agent.surplus.set(surplus);
        surplus
    }

    /// Makes the selection keep agents that a job needs and others may not.
    pub fn note_requirements(&self, job: &Job) {
        let mut selector = self.selector.borrow_mut();
        if !job.label.is_empty() {
            selector.require_label(&job.label, uptime());
        }
        if job.max_per_agent > 0 {
            selector.require_width(job.count.div_ceil(job.max_per_agent) as usize, uptime());
        }
    }

    fn is_surplus(&self, agent: &Agent) -> bool {
        let (known, now) = (self.known.borrow(), uptime());
        let others = known.values().filter(|o| {
            o.service == agent.service
                && o.name != agent.name
                && o.silence_at(now) <= self.heartbeat_timeout
        });
        let selector = self.selector.borrow();
        selector.is_surplus(&self.candidate(agent), others.map(|o| self.candidate(o)), now)
    }

    /// Properties of an agent in the selection; one that gets no work isn't ready.
    fn candidate(&self, agent: &Agent) -> Candidate {
        let candidate = agent.candidate();
        Candidate { ready: candidate.ready && !self.drains.is_drained(&agent.centre), ..candidate }
    }

    fn update(&self, hello: &Hello, worker: Option<worker::Client>) {
        let known = self.known.borrow().get(&hello.name).cloned();
        match (known, worker) {
            (Some(agent), worker) if agent.incarnation == hello.incarnation => {
                if agent.load().ready && !hello.load.ready {
                    Event::AgentNotReady.note(&[("agent", (&*hello.name).into())]);
                }
                agent.on_heartbeat(hello, worker);
            }
            // a delayed heartbeat of an earlier incarnation
            (Some(agent), _) if agent.incarnation > hello.incarnation => return,
            (before, Some(worker)) => {
                Event::AgentDiscovered.note(&[
                    ("agent", (&*hello.name).into()),
                    ("incarnation", hello.incarnation.into()),
                    ("ready", hello.load.ready.into()),
                ]);
                let rank = rank(&hello.name, self.address);
                let agent = Rc::new(Agent::new(hello, worker, rank));
                let mut known = self.known.borrow_mut();
                known.retain(|_, a| a.since_heartbeat() < AGENT_RETENTION);
                known.insert(hello.name.clone(), agent);
                if let Some(before) = before {
                    before.changed.notify_waiters();
                }
            }
            (_, None) => return,
        }
        self.backlog.wake();
    }

    /// The newest incarnation of an agent.
    pub fn get(&self, name: &str) -> Option<Rc<Agent>> {
        self.known.borrow().get(name).cloned()
    }

    /// Agents of a service that may get work: their newest heartbeat is recent, they
    /// aren't surplus, and their data centre isn't drained.
    pub fn of_service(&self, service: &str) -> Vec<Rc<Agent>> {
        let (known, now) = (self.known.borrow(), uptime());
        let usable = known.values().filter(|a| &*a.service == service && self.is_usable(a, now));
        usable.cloned().collect()
    }

    /// Those of them that take the jobs of a queue: few if it is confined, else all but
    /// these few.
    pub fn of_queue(&self, service: &str, queue: &str) -> Vec<Rc<Agent>> {
        let agents = self.of_service(service);
        let confinement = self.confinement.borrow();
        if !confinement.is_active(service) {
            return agents;
        }
        let confined = confined_agents(agents.clone());
        if confinement.is_confined(service, queue) || confined.len() == agents.len() {
            return confined;
        }
        agents.into_iter().filter(|a| !confined.iter().any(|c| Rc::ptr_eq(a, c))).collect()
    }

    pub fn is_confined(&self, service: &str, queue: &str) -> bool {
        self.confinement.borrow().is_confined(service, queue)
    }

    /// Releases confined queues whose jobs no longer crash backend servers.
    pub fn release_queues(&self) {
        let services = self.confinement.borrow().active_services();
        for service in services {
            let confined = confined_agents(self.of_service(&service));
            let ready = confined.iter().filter(|a| a.load().ready).count();
            self.confinement.borrow_mut().release(&service, ready, uptime());
        }
    }

    /// Status of each confined queue, for operators.
    pub fn confined_queues(&self) -> Vec<ConfinedQueue> {
        self.confinement.borrow().report(uptime())
    }

    fn on_crash(&self, agent: &Rc<Agent>, crash: &CrashReport) {
        let confined = confined_agents(self.of_service(&agent.service));
        let is_confined = self.confinement.borrow().is_active(&agent.service)
            && confined.iter().any(|a| Rc::ptr_eq(a, agent));
        let site = if is_confined { CrashSite::Confined } else { CrashSite::Elsewhere };
        self.confinement.borrow_mut().record(&agent.service, site, crash, uptime());
    }

    /// Status of each agent, for operators.
    pub fn report(&self) -> Vec<AgentReport> {
        self.known.borrow().values().map(|a| a.report()).collect()
    }

    /// Labels and millicores of each agent that accepts work.
    pub fn capacities(&self) -> Vec<(Rc<[Name]>, u32)> {
        let (known, now) = (self.known.borrow(), uptime());
        let accepting = known.values().filter(|a| a.load().ready && self.is_usable(a, now));
        accepting.map(|a| (a.labels.borrow().clone(), a.load().capacity.cpu)).collect()
    }

    /// Status of each drained data centre, for operators.
    pub fn report_drains(&self) -> Vec<DrainReport> {
        let known = self.known.borrow();
        let report = |(name, centre): (&Name, &DrainedCentre)| {
            let loads = known.values().filter(|a| a.centre == *name).map(|a| a.load());
            let used = loads.map(|l| l.capacity.cpu.saturating_sub(l.free.cpu));
            let used: Vec<u32> = used.collect();
            DrainReport {
                centre: name.clone(),
                version: centre.version,
                since_ms: centre.since_ms,
                agents: used.len(),
                busy_agents: used.iter().filter(|u| **u > 0).count(),
                used_cpu: used.iter().map(|u| u64::from(*u)).sum(),
            }
        };
        self.drains.get().centres.iter().map(report).collect()
    }

    /// Jobs that wait, by class.
    pub fn backlog_report(&self) -> Vec<BacklogReport> {
        let report = |it: ClassBacklog| BacklogReport {
            class: it.class.index(),
            jobs: it.jobs,
            longest_wait_ms: it.longest_wait.as_millis() as u64,
        };
        self.backlog.by_class().into_iter().map(report).collect()
    }

    /// Whether any agent accepts work.
    pub fn any_ready(&self) -> bool {
        let now = uptime();
        self.known.borrow().values().any(|a| a.load().ready && self.is_usable(a, now))
    }

    fn is_usable(&self, agent: &Agent, now: Uptime) -> bool {
        agent.silence_at(now) <= self.heartbeat_timeout
            && !agent.is_unreachable()
            && !agent.surplus.get()
            && !self.drains.is_drained(&agent.centre)
    }
}

/// The few agents that take the jobs of confined queues.
fn confined_agents(agents: Vec<Rc<Agent>>) -> Vec<Rc<Agent>> {
    first_by_hash(agents, CONFINED_DIVISOR, |a| &a.name)
}
