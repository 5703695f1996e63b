//! Which queues run on few agents only, because their jobs crash backend servers. It
//! answers jobs that crash every server they start on, faster than each job can be
//! given up: without it, they take down the servers of all queues.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use base::{Event, Name, Uptime};
use lease::CrashReport;
use serde::Serialize;

/// Crashes within this time count as one: a job may crash several servers at once, and
/// jobs placed together with it then have young runs on all of them.
const SAME_EVENT: Duration = Duration::from_millis(40);

/// When queues are confined.
#[derive(Clone, Debug)]
pub struct ConfinementSettings {
    /// how long a crash counts
    pub window: Duration,
    /// fewest crashes that confine a queue
    pub min_crashes: usize,
    /// probability below which crashes are no coincidence
    pub significance: f64,
    /// time after a confinement in which jobs placed before it may still cause crashes
    pub settling: Duration,
    /// crashes on agents that take its jobs after which a queue is judged again
    pub review_crashes: usize,
    /// probability of a coincidence in these from which it is released
    pub insignificance: f64,
    /// time without a crash on agents that take its jobs after which a queue is released
    pub probation: Duration,
}

impl Default for ConfinementSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(3),
            min_crashes: 3,
            significance: 0.005,
            settling: Duration::from_millis(500),
            review_crashes: 8,
            insignificance: 0.3,
            probation: Duration::from_millis(1500),
        }
    }
}

/// Queues whose jobs crash backend servers, by service.
///
/// Each crash says how likely the newest start of each queue was as near to it by
/// coincidence. For a queue that doesn't cause crashes, these probabilities are uniformly
/// distributed, so they are combined by Fisher's method.
#[derive(Default)]
pub struct Confinement {
    settings: ConfinementSettings,
    services: HashMap<Name, ServiceCrashes>,
}

#[derive(Default)]
struct ServiceCrashes {
    recent: VecDeque<CrashEvent>,
    confined: BTreeMap<Name, Confined>,
    /// when the newest queue was confined
    confined_at: Option<Uptime>,
}

/// Crashes at about the same time.
struct CrashEvent {
    at: Uptime,
    /// for each queue that all of them name, the highest probability
    chances: HashMap<Name, f64>,
}

struct Confined {
    since: Uptime,
    /// when the newest crash came, or no agent could take its jobs
    last_at: Uptime,
    evidence: Evidence,
}

/// Crashes, and how well they go with the starts of a queue.
#[derive(Clone, Copy, Default)]
struct Evidence {
    crashes: usize,
    /// sum of the negative logarithms of the probabilities
    surprise: f64,
}

/// Where a backend server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashSite {
    /// on an agent that takes only jobs of confined queues
    Confined,
    Elsewhere,
}

/// Status of a confined queue, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfinedQueue {
    pub service: Name,
    pub queue: Name,
    /// time since it was confined
    pub age_ms: u64,
    /// crashes since then on the agents that take its jobs
    pub crashes: usize,
}

impl Confinement {
    pub fn new(settings: ConfinementSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records a crash of a backend server.
    pub fn record(&mut self, service: &Name, site: CrashSite, crash: &CrashReport, now: Uptime) {
        let it = self.services.entry(service.clone()).or_default();
        match site {
            CrashSite::Confined => it.review(service, crash, &self.settings, now),
            CrashSite::Elsewhere => it.suspect(service, crash, &self.settings, now),
        }
    }

    /// Whether any queue of a service is confined.
    pub fn is_active(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|it| !it.confined.is_empty())
    }

    pub fn is_confined(&self, service: &str, queue: &str) -> bool {
        self.services.get(service).is_some_and(|it| it.confined.contains_key(queue))
    }

    /// Services with confined queues.
    pub fn active_services(&self) -> Vec<Name> {
        let active = self.services.iter().filter(|(_, it)| !it.confined.is_empty());
        active.map(|(service, _)| service.clone()).collect()
    }

    /// Releases the queues of a service without further crashes. `ready` agents take their
    /// jobs: with none, no crash can be expected.
    pub fn release(&mut self, service: &str, ready: usize, now: Uptime) {
        let Some(it) = self.services.get_mut(service) else { return };
        let probation = self.settings.probation;
        it.confined.retain(|queue, confined| {
            if ready == 0 {
                confined.last_at = now;
            }
            let keep = confined.last_at + probation > now;
            if !keep {
                confined.note_release(service, queue, now);
            }
            keep
        });
    }

    /// Status of each confined queue, for operators.
    pub fn report(&self, now: Uptime) -> Vec<ConfinedQueue> {
        let queues = self.services.iter().flat_map(|(service, it)| {
            it.confined.iter().map(|(queue, confined)| ConfinedQueue {
                service: service.clone(),
                queue: queue.clone(),
                age_ms: confined.age_ms(now),
                crashes: confined.evidence.crashes,
            })
        });
        queues.collect()
    }
}

impl ServiceCrashes {
    /// Confines the most suspicious queue after a crash elsewhere than on the agents of
    /// confined queues, if there is enough evidence against it.
    fn suspect(
        &mut self,
        service: &Name,
        crash: &CrashReport,
        settings: &ConfinementSettings,
        now: Uptime,
    ) {
        if self.confined_at.is_some_and(|at| at + settings.settling > now) {
            return;
        }
        self.recent.retain(|event| event.at + settings.window > now);
        match self.recent.back_mut().filter(|event| event.at + SAME_EVENT > now) {
            Some(event) => event.merge(crash),
            None => {
                let chances = crash.chances.iter().cloned().collect();
                self.recent.push_back(CrashEvent { at: now, chances });
            }
        }
        let is_proven = |it: &Evidence| {
            it.crashes >= settings.min_crashes && it.coincidence() < settings.significance
        };
        let queues = self.evidence();
        // an entry that doesn't know of a confined queue, as it has just started, may place
        // its jobs elsewhere
        let is_explained =
            queues.iter().any(|(q, it)| self.confined.contains_key(q) && is_proven(it));
        let order = |a: &&(Name, Evidence), b: &&(Name, Evidence)| {
            a.1.surprise.total_cmp(&b.1.surprise).then(b.0.cmp(&a.0))
        };
        let Some((queue, evidence)) = queues.iter().max_by(order).cloned() else { return };
        if is_explained || self.confined.contains_key(&queue) || !is_proven(&evidence) {
            return;
        }
        Event::QueueConfined.note(&[
            ("service", (&**service).into()),
            ("queue", (&*queue).into()),
            ("crashes", (evidence.crashes as u64).into()),
            ("coincidence", evidence.coincidence().into()),
        ]);
        // these crashes are explained
        self.recent.clear();
        self.confined_at = Some(now);
        let evidence = Evidence::default();
        self.confined.insert(queue, Confined { since: now, last_at: now, evidence });
    }

    /// Judges the confined queues again after a crash on one of their agents: those to
    /// which the crashes don't point are released.
    fn review(
        &mut self,
        service: &Name,
        crash: &CrashReport,
        settings: &ConfinementSettings,
        now: Uptime,
    ) {
        self.confined.retain(|queue, confined| {
            confined.last_at = now;
            let chance = crash.chances.iter().find(|(name, _)| name == queue).map(|(_, p)| *p);
            confined.evidence.add(chance.unwrap_or(1.0));
            let Evidence { crashes, .. } = confined.evidence;
            let keep = crashes < settings.review_crashes
                || confined.evidence.coincidence() < settings.insignificance;
            if !keep {
                confined.note_release(service, queue, now);
            }
            keep
        });
    }

    /// How well the recent crashes go with the starts of each queue.
    fn evidence(&self) -> Vec<(Name, Evidence)> {
        let mut queues: HashMap<&Name, Evidence> = HashMap::new();
        for (queue, chance) in self.recent.iter().flat_map(|event| &event.chances) {
            queues.entry(queue).or_default().add(*chance);
        }
        // crashes that don't name a queue say nothing for it
        let crashes = self.recent.len();
        queues.into_iter().map(|(queue, it)| (queue.clone(), Evidence { crashes, ..it })).collect()
    }
}

impl CrashEvent {
    fn merge(&mut self, crash: &CrashReport) {
        let known = std::mem::take(&mut self.chances);
        let common = crash
            .chances
            .iter()
            .filter_map(|(queue, chance)| Some((queue.clone(), known.get(queue)?.max(*chance))));
        self.chances = common.collect();
    }
}

impl Confined {
    fn age_ms(&self, now: Uptime) -> u64 {
        now.saturating_sub(self.since).as_millis() as u64
    }

    fn note_release(&self, service: &str, queue: &str, now: Uptime) {
        Event::QueueReleased.note(&[
            ("service", service.into()),
            ("queue", queue.into()),
            ("crashes", (self.evidence.crashes as u64).into()),
            ("after_ms", self.age_ms(now).into()),
        ]);
    }
}

impl Evidence {
    fn add(&mut self, chance: f64) {
        self.crashes += 1;
        self.surprise -= chance.max(f64::MIN_POSITIVE).ln();
    }

    /// Probability of such crashes if the queue has nothing to do with them.
    fn coincidence(&self) -> f64 {
        upper_tail(self.crashes, self.surprise)
    }
}

/// Probability that the sum of the negative logarithms of `count` uniformly distributed
/// numbers is `sum` or more: the upper tail of an Erlang distribution.
fn upper_tail(count: usize, sum: f64) -> f64 {
    let mut term = (-sum).exp();
    let mut tail = 0.0;
    for k in 1..=count {
        tail += term;
        term *= sum / k as f64;
    }
    tail
}
