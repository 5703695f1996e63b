use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use base::{Event, Name, uptime};
use topology::{AgentSelector, SelectorSettings, rank};
use wire::{Hello, egret_capnp::worker};

use crate::{AgentReport, Job, agent::Agent, backlog::Backlog};

/// An agent that has not greeted for so long is forgotten; its machine is gone.
const FORGET: Duration = Duration::from_secs(60);

/// The agents that greet this entry. Nothing else lists them.
pub struct Agents {
    /// of this entry
    address: SocketAddr,
    /// an agent that is silent for longer gets no work
    silence: Duration,
    circle: RefCell<AgentSelector>,
    known: RefCell<BTreeMap<Name, Rc<Agent>>>,
    /// jobs that wait for room
    pub backlog: Rc<Backlog>,
}

impl Agents {
    pub fn new(address: SocketAddr, enough: usize, silence: Duration) -> Rc<Self> {
        Rc::new(Self {
            address,
            silence,
            circle: RefCell::new(AgentSelector::new(SelectorSettings { target_agents: enough })),
            known: RefCell::default(),
            backlog: Rc::default(),
        })
    }

    /// Notes a greeting; `worker` is set in the first one of a link. Tells
    /// whether the agent is spare.
    pub fn on_heartbeat(&self, hello: &Hello, worker: Option<worker::Client>) -> bool {
        self.note(hello, worker);
        let Some(agent) = self.get(&hello.name) else { return false };
        let spare = self.is_spare(&agent);
        // that a visitor isn't needed is no news
        let is_visit = hello.entries_digest == 0;
        if spare && !agent.surplus.get() && !is_visit {
            Event::AgentSurplus.note(&[
                ("agent", (&*agent.name).into()),
                ("agents", (self.known.borrow().len() as u64).into()),
            ]);
        }
        agent.surplus.set(spare);
        spare
    }

    /// A job asks for agents of its own kind, which others may not need.
    pub fn note_requirements(&self, job: &Job) {
        let mut circle = self.circle.borrow_mut();
        if !job.label.is_empty() {
            circle.require_label(&job.label, uptime());
        }
        if job.max_per_agent > 0 {
            circle.require_width(job.count.div_ceil(job.max_per_agent) as usize, uptime());
        }
    }

    fn is_spare(&self, agent: &Agent) -> bool {
        let known = self.known.borrow();
        let others = known.values().filter(|o| {
            o.service == agent.service
                && o.name != agent.name
                && o.since_heartbeat() <= self.silence
        });
        let circle = self.circle.borrow();
        circle.is_surplus(&agent.candidate(), others.map(|o| o.candidate()), uptime())
    }

    fn note(&self, hello: &Hello, worker: Option<worker::Client>) {
        let known = self.known.borrow().get(&hello.name).cloned();
        match (known, worker) {
            (Some(agent), worker) if agent.incarnation == hello.incarnation => {
                if agent.load().ready && !hello.load.ready {
                    Event::AgentNotReady.note(&[("agent", (&*hello.name).into())]);
                }
                agent.on_heartbeat(hello, worker);
            }
            // word of an earlier life that came late
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
                known.retain(|_, a| a.since_heartbeat() < FORGET);
                known.insert(hello.name.clone(), agent);
                if let Some(before) = before {
                    before.changed.notify_waiters();
                }
            }
            (_, None) => return,
        }
        self.backlog.wake_first();
    }

    /// The newest life of an agent.
    pub fn get(&self, name: &str) -> Option<Rc<Agent>> {
        self.known.borrow().get(name).cloned()
    }

    /// Agents of a service that were heard lately and aren't spare.
    pub fn of_service(&self, service: &str) -> Vec<Rc<Agent>> {
        let known = self.known.borrow();
        let heard = known.values().filter(|a| &*a.service == service && self.is_kept(a));
        heard.cloned().collect()
    }

    /// How each agent stands, for operators.
    pub fn report(&self) -> Vec<AgentReport> {
        self.known.borrow().values().map(|a| a.report()).collect()
    }

    /// Whether any agent takes work.
    pub fn any_ready(&self) -> bool {
        self.known.borrow().values().any(|a| a.load().ready && self.is_kept(a))
    }

    fn is_kept(&self, agent: &Agent) -> bool {
        agent.since_heartbeat() <= self.silence && !agent.surplus.get()
    }
}
