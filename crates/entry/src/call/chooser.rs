use std::{
    cell::RefCell,
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use admit::Pressure;
use base::{Event, Name};
use conf::PickKind;
use pick::{
    Candidates, Ejector, EjectorSettings, ExpectedWait, LeastOutstanding, Policy, Random,
    RoundRobin, Settings, Standing, View,
};
use queue::{Class, Classes};
use rand::Rng;
use wire::Load;

use crate::fleet::{Agent, Agents};

/// Extra cost of an agent in another data centre, there and back.
const REMOTE_CENTRE_DELAY: Duration = Duration::from_millis(1);
/// Most agents looked at to tell how busy a service is.
const SAMPLE_SIZE: usize = 12;
/// An operation is long from this many times the short run time on.
const LONG_FACTOR: f64 = 5.0;

/// Chooses an agent for each task, on one thread.
pub struct Chooser {
    agents: Arc<Agents>,
    centre: Name,
    policy: RefCell<Box<dyn Policy>>,
    services: RefCell<HashMap<Name, Service>>,
}

/// What this thread knows of a service.
struct Service {
    /// count of changes when `peers` was read
    changes: u64,
    peers: Vec<Arc<Agent>>,
    classes: Classes,
    ejector: RefCell<Ejector>,
}

/// An agent chosen for one offer; the offer counts until this is dropped.
pub struct ChosenAgent {
    pub peer: Arc<Agent>,
}

impl Chooser {
    pub fn new(agents: Arc<Agents>, centre: Name, kind: PickKind) -> Self {
        let policy = RefCell::new(policy(kind));
        Self { agents, centre, policy, services: RefCell::default() }
    }

    /// Chooses an agent; those that `skip` names get no offer.
    pub fn choose(
        &self,
        service: &Name,
        operation: &str,
        skip: &dyn Fn(&Agent) -> bool,
    ) -> Option<ChosenAgent> {
        self.refresh(service);
        let services = self.services.borrow();
        let open = EligibleAgents {
            service: services.get(service)?,
            class: services.get(service)?.classes.class(operation),
            now: Instant::now(),
            silence: self.agents.heartbeat_timeout(),
            centre: &self.centre,
            skip,
        };
        let index = self.policy.borrow_mut().pick(&open)?;
        let peer = open.service.peers[index].clone();
        open.service.ejector.borrow_mut().probed(&peer.name, open.now);
        peer.begin_offer();
        Some(ChosenAgent { peer })
    }

    /// How busy a service is for an operation, by a sample of its agents.
    pub fn pressure(&self, service: &Name, operation: &str) -> Pressure {
        self.refresh(service);
        let services = self.services.borrow();
        let Some(service) = services.get(service).filter(|s| !s.peers.is_empty()) else {
            return Pressure::default();
        };
        let class = service.classes.class(operation);
        let now = Instant::now();
        let mut sample = Sample::default();
        for peer in service.sample() {
            if let Some(view) = peer.view(class, self.agents.heartbeat_timeout(), now) {
                sample.add(&view, peer.busy_slots());
            }
        }
        sample.pressure(service.peers.len())
    }

    /// Learns from the run time of a task.
    pub fn observe_run(&self, service: &Name, operation: &Name, ran: Duration) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.classes.observe(operation, ran);
        }
    }

    /// Reads the agents of a service again when any has changed.
    fn refresh(&self, service: &Name) {
        let changes = self.agents.generation();
        let mut services = self.services.borrow_mut();
        let known = services.entry(service.clone()).or_insert_with(Service::new);
        if known.changes == changes {
            return;
        }
        known.changes = changes;
        known.peers = self.agents.of_service(service);
        let peers = &known.peers;
        known.ejector.borrow_mut().retain(|name| peers.iter().any(|p| p.name == *name));
    }
}

/// What the agents looked at have in common.
#[derive(Default)]
struct Sample {
    agents: usize,
    slots: u32,
    taken: u32,
    best: Option<View>,
}

impl Sample {
    fn add(&mut self, view: &View, taken: u32) {
        self.agents += 1;
        self.slots += view.slots;
        self.taken += taken;
        let time = |v: &View| v.expected_wait() + v.mean;
        if self.best.is_none_or(|best| time(view) < time(&best)) {
            self.best = Some(*view);
        }
    }

    /// Scaled up to a service of so many agents.
    fn pressure(&self, agents: usize) -> Pressure {
        let Some(best) = self.best else { return Pressure::default() };
        Pressure {
            wait: best.expected_wait(),
            run: best.mean,
            busy: f64::from(self.taken) / f64::from(self.slots.max(1)),
            slots: self.slots * agents as u32 / self.agents as u32,
        }
    }
}

impl Service {
    /// All agents of a small service, neighbours from a random one of a large.
    fn sample(&self) -> impl Iterator<Item = &Arc<Agent>> {
        let start = rand::rng().random_range(0..self.peers.len());
        self.peers.iter().cycle().skip(start).take(self.peers.len().min(SAMPLE_SIZE))
    }

    fn new() -> Self {
        Self {
            changes: u64::MAX,
            peers: Vec::new(),
            classes: Classes::new(LONG_FACTOR),
            ejector: RefCell::new(Ejector::new(EjectorSettings::default())),
        }
    }
}

impl ChosenAgent {
    /// Notes the load that came with the reply.
    pub fn update_load(&self, load: Load) {
        self.peer.update_load(load);
    }
}

impl Drop for ChosenAgent {
    fn drop(&mut self) {
        self.peer.end_offer();
    }
}

/// The agents that may take one task.
struct EligibleAgents<'a> {
    service: &'a Service,
    class: Class,
    now: Instant,
    silence: Duration,
    centre: &'a str,
    skip: &'a dyn Fn(&Agent) -> bool,
}

impl Candidates for EligibleAgents<'_> {
    fn len(&self) -> usize {
        self.service.peers.len()
    }

    fn view(&self, index: usize) -> Option<View> {
        let peer = &self.service.peers[index];
        let view = peer.view(self.class, self.silence, self.now)?;
        if (self.skip)(peer) {
            return None;
        }
        let distance =
            if *peer.centre == *self.centre { Duration::ZERO } else { REMOTE_CENTRE_DELAY };
        match self.evaluate(peer, view.failing) {
            Standing::In => Some(View { distance, ..view }),
            // the next task goes there, whatever else is open
            Standing::Probe => Some(View { slots: view.slots, free: u32::MAX, ..View::default() }),
            Standing::Out => None,
        }
    }
}

impl EligibleAgents<'_> {
    fn evaluate(&self, peer: &Agent, failing: f64) -> Standing {
        let mut ejector = self.service.ejector.borrow_mut();
        let before = ejector.len();
        let standing = ejector.judge(&peer.name, failing, self.len(), self.now);
        match ejector.len().cmp(&before) {
            std::cmp::Ordering::Greater => {
                Event::AgentEjected.log(format_args!("{}: {failing:.2} of runs fail", peer.name));
            }
            std::cmp::Ordering::Less => Event::AgentReadmitted.log(format_args!("{}", peer.name)),
            std::cmp::Ordering::Equal => {}
        }
        standing
    }
}

fn policy(kind: PickKind) -> Box<dyn Policy> {
    let seed = rand::random();
    match kind {
        PickKind::ExpectedWait => Box::new(ExpectedWait::new(Settings::default(), seed)),
        PickKind::Random => Box::new(Random::new(seed)),
        PickKind::RoundRobin => Box::new(RoundRobin::default()),
        PickKind::LeastOutstanding => Box::new(LeastOutstanding::new(seed)),
    }
}
