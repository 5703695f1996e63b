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
use conf::BalancingPolicy;
use queue::{Class, Classifier};
use rand::Rng;
use wire::Load;

use crate::fleet::{Agent, Agents};

/// Round trip to an agent in another data centre, added to its expected wait.
const REMOTE_CENTRE_DELAY: Duration = Duration::from_millis(1);
/// Maximum number of agents sampled to estimate the load of a service.
const SAMPLE_SIZE: usize = 12;
/// An operation counts as long if its median run time is at least this multiple
/// of that of short work.
const LONG_FACTOR: f64 = 5.0;

/// Chooses an agent for each task, on one thread.
pub struct Chooser {
    agents: Arc<Agents>,
    centre: Name,
    policy: RefCell<Box<dyn Policy>>,
    services: RefCell<HashMap<Name, Service>>,
}

/// This thread's view of a service.
struct Service {
    /// generation of `Agents` at which `agents` was read
    generation: u64,
    agents: Vec<Arc<Agent>>,
    classes: Classifier,
    ejector: RefCell<Ejector>,
}

/// An agent chosen for one offer; the offer counts as outstanding until this is
/// dropped.
pub struct ChosenAgent {
    pub agent: Arc<Agent>,
}

impl Chooser {
    pub fn new(agents: Arc<Agents>, centre: Name, kind: BalancingPolicy) -> Self {
        let policy = RefCell::new(policy(kind));
        Self { agents, centre, policy, services: RefCell::default() }
    }

    /// Chooses an agent for a task, except those for which `skip` holds.
    pub fn choose(
        &self,
        service: &Name,
        operation: &str,
        skip: &dyn Fn(&Agent) -> bool,
    ) -> Option<ChosenAgent> {
        self.refresh(service);
        let services = self.services.borrow();
        let eligible = EligibleAgents {
            service: services.get(service)?,
            class: services.get(service)?.classes.class(operation),
            now: Instant::now(),
            timeout: self.agents.heartbeat_timeout(),
            centre: &self.centre,
            skip,
        };
        let index = self.policy.borrow_mut().pick(&eligible)?;
        let agent = eligible.service.agents[index].clone();
        // has no effect unless the agent is ejected, and so this is a probe
        eligible.service.ejector.borrow_mut().on_probe_sent(&agent.name, eligible.now);
        agent.begin_offer();
        Some(ChosenAgent { agent })
    }

    /// Load of a service for an operation, estimated from a sample of its agents.
    pub fn service_load(&self, service: &Name, operation: &str) -> ServiceLoad {
        self.refresh(service);
        let services = self.services.borrow();
        let Some(service) = services.get(service).filter(|s| !s.agents.is_empty()) else {
            return ServiceLoad::default();
        };
        let class = service.classes.class(operation);
        let now = Instant::now();
        let mut sample = Sample::default();
        for agent in service.sample() {
            if let Some(view) = agent.view(class, self.agents.heartbeat_timeout(), now) {
                sample.add(&view, agent.busy_slots());
            }
        }
        sample.scale_up(service.agents.len())
    }

    /// Updates the expected run time of an operation.
    pub fn observe_run(&self, service: &Name, operation: &Name, run_time: Duration) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.classes.observe(operation, run_time);
        }
    }

    /// Rereads the agents of a service when any agent has been added or replaced.
    fn refresh(&self, service: &Name) {
        let generation = self.agents.generation();
        let mut services = self.services.borrow_mut();
        let known = services.entry(service.clone()).or_insert_with(Service::new);
        if known.generation == generation {
            return;
        }
        known.generation = generation;
        known.agents = self.agents.of_service(service);
        let agents = &known.agents;
        known.ejector.borrow_mut().retain(|name| agents.iter().any(|a| a.name == *name));
    }
}

/// Sums over the sampled agents, and the one where a task should end first.
#[derive(Default)]
struct Sample {
    agents: usize,
    slots: u32,
    busy_slots: u32,
    best: Option<AgentView>,
}

impl Sample {
    fn add(&mut self, view: &AgentView, busy_slots: u32) {
        self.agents += 1;
        self.slots += view.slots;
        self.busy_slots += busy_slots;
        let total_time = |v: &AgentView| v.expected_wait() + v.mean_run;
        if self.best.is_none_or(|best| total_time(view) < total_time(&best)) {
            self.best = Some(*view);
        }
    }

    /// The load of a service with this many agents, scaled up from the sample.
    fn scale_up(&self, agents: usize) -> ServiceLoad {
        let Some(best) = self.best else { return ServiceLoad::default() };
        ServiceLoad {
            wait: best.expected_wait(),
            run: best.mean_run,
            busy_share: f64::from(self.busy_slots) / f64::from(self.slots.max(1)),
            slots: self.slots * agents as u32 / self.agents as u32,
        }
    }
}

impl Service {
    /// All agents of a small service; of a large one, `SAMPLE_SIZE` adjacent agents
    /// from a random start.
    fn sample(&self) -> impl Iterator<Item = &Arc<Agent>> {
        let start = rand::rng().random_range(0..self.agents.len());
        self.agents.iter().cycle().skip(start).take(self.agents.len().min(SAMPLE_SIZE))
    }

    fn new() -> Self {
        Self {
            // no real generation, so that the first `refresh` reads the agents
            generation: u64::MAX,
            agents: Vec::new(),
            classes: Classifier::new(LONG_FACTOR),
            ejector: RefCell::new(Ejector::new(EjectorSettings::default())),
        }
    }
}

impl ChosenAgent {
    pub fn update_load(&self, load: Load) {
        self.agent.update_load(load);
    }
}

impl Drop for ChosenAgent {
    fn drop(&mut self) {
        self.agent.end_offer();
    }
}

/// The agents of a service that may take one task.
struct EligibleAgents<'a> {
    service: &'a Service,
    class: Class,
    now: Instant,
    timeout: Duration,
    centre: &'a str,
    skip: &'a dyn Fn(&Agent) -> bool,
}

impl Candidates for EligibleAgents<'_> {
    fn len(&self) -> usize {
        self.service.agents.len()
    }

    fn view(&self, index: usize) -> Option<AgentView> {
        let agent = &self.service.agents[index];
        let view = agent.view(self.class, self.timeout, self.now)?;
        if (self.skip)(agent) {
            return None;
        }
        let network_delay =
            if *agent.centre == *self.centre { Duration::ZERO } else { REMOTE_CENTRE_DELAY };
        match self.evaluate(agent, view.failure_rate) {
            AgentStatus::Active => Some(AgentView { network_delay, ..view }),
            // unbounded free slots make the policy send the next task here
            AgentStatus::Probe => {
                Some(AgentView { slots: view.slots, free_slots: u32::MAX, ..AgentView::default() })
            }
            AgentStatus::Ejected => None,
        }
    }
}

impl EligibleAgents<'_> {
    /// Updates and returns the status of an agent, and logs an ejection or its end.
    fn evaluate(&self, agent: &Agent, failing: f64) -> AgentStatus {
        let mut ejector = self.service.ejector.borrow_mut();
        let before = ejector.len();
        let status = ejector.evaluate(&agent.name, failing, self.len(), self.now);
        match ejector.len().cmp(&before) {
            std::cmp::Ordering::Greater => {
                Event::AgentEjected.log(format_args!("{}: {failing:.2} of runs fail", agent.name));
            }
            std::cmp::Ordering::Less => Event::AgentReadmitted.log(format_args!("{}", agent.name)),
            std::cmp::Ordering::Equal => {}
        }
        status
    }
}

fn policy(kind: BalancingPolicy) -> Box<dyn Policy> {
    let seed = rand::random();
    match kind {
        BalancingPolicy::ExpectedWait => {
            Box::new(ExpectedWait::new(ExpectedWaitSettings::default(), seed))
        }
        BalancingPolicy::Random => Box::new(Random::new(seed)),
        BalancingPolicy::RoundRobin => Box::new(RoundRobin::default()),
        BalancingPolicy::LeastOutstanding => Box::new(LeastOutstanding::new(seed)),
    }
}
