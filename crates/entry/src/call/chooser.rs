use std::{
    cell::RefCell,
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use admission::ServiceLoad;
use balancing::{
    AgentStatus, AgentView, Candidates, Ejector, EjectorSettings, ExpectedWait,
    ExpectedWaitSettings, LeastOutstanding, Policy, Random, RoundRobin,
};
use base::{Event, Name};
use conf::PickKind;
use queue::{Class, Classifier};
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
    classes: Classifier,
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
        open.service.ejector.borrow_mut().on_probe_sent(&peer.name, open.now);
        peer.begin_offer();
        Some(ChosenAgent { peer })
    }

    /// How busy a service is for an operation, by a sample of its agents.
    pub fn pressure(&self, service: &Name, operation: &str) -> ServiceLoad {
        self.refresh(service);
        let services = self.services.borrow();
        let Some(service) = services.get(service).filter(|s| !s.peers.is_empty()) else {
            return ServiceLoad::default();
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
    best: Option<AgentView>,
}

impl Sample {
    fn add(&mut self, view: &AgentView, taken: u32) {
        self.agents += 1;
        self.slots += view.slots;
        self.taken += taken;
        let time = |v: &AgentView| v.expected_wait() + v.mean_run;
        if self.best.is_none_or(|best| time(view) < time(&best)) {
            self.best = Some(*view);
        }
    }

    /// Scaled up to a service of so many agents.
    fn pressure(&self, agents: usize) -> ServiceLoad {
        let Some(best) = self.best else { return ServiceLoad::default() };
        ServiceLoad {
            wait: best.expected_wait(),
            run: best.mean_run,
            busy_share: f64::from(self.taken) / f64::from(self.slots.max(1)),
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
            classes: Classifier::new(LONG_FACTOR),
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

    fn view(&self, index: usize) -> Option<AgentView> {
        let peer = &self.service.peers[index];
        let view = peer.view(self.class, self.silence, self.now)?;
        if (self.skip)(peer) {
            return None;
        }
        let distance =
            if *peer.centre == *self.centre { Duration::ZERO } else { REMOTE_CENTRE_DELAY };
        match self.evaluate(peer, view.failure_rate) {
            AgentStatus::Active => Some(AgentView { network_delay: distance, ..view }),
            // the next task goes there, whatever else is open
            AgentStatus::Probe => {
                Some(AgentView { slots: view.slots, free_slots: u32::MAX, ..AgentView::default() })
            }
            AgentStatus::Ejected => None,
        }
    }
}

impl EligibleAgents<'_> {
    fn evaluate(&self, peer: &Agent, failing: f64) -> AgentStatus {
        let mut ejector = self.service.ejector.borrow_mut();
        let before = ejector.len();
        let standing = ejector.evaluate(&peer.name, failing, self.len(), self.now);
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
        PickKind::ExpectedWait => {
            Box::new(ExpectedWait::new(ExpectedWaitSettings::default(), seed))
        }
        PickKind::Random => Box::new(Random::new(seed)),
        PickKind::RoundRobin => Box::new(RoundRobin::default()),
        PickKind::LeastOutstanding => Box::new(LeastOutstanding::new(seed)),
    }
}
