//! Simulates the decisions of agents and entries in fleets of many sizes, in
//! steps of a heartbeat, and checks which of them are connected.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::Name;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use topology::{
    AgentSelector, Candidate, Rank, ScheduleSettings, SelectorSettings, VisitSchedule, rank,
};

/// Time between heartbeats over a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

struct Agent {
    labels: Rc<[Name]>,
    ready: bool,
    alive: bool,
    /// rank of each entry
    ranks: Vec<Rank>,
    /// position of each entry in the agent's order
    positions: Vec<usize>,
    /// connected entries
    links: BTreeSet<usize>,
    /// time of the next visit to each other entry
    visits: BTreeMap<usize, Duration>,
}

struct Fleet {
    selector: AgentSelector,
    schedule: VisitSchedule,
    now: Duration,
    agents: Vec<Agent>,
    /// connected agents of each entry
    entries: Vec<BTreeSet<usize>>,
    /// heartbeats and visits of the last step
    messages: usize,
}

impl Fleet {
    fn new(agents: usize, entries: usize) -> Self {
        let schedule = VisitSchedule::default();
        let addresses: Vec<SocketAddr> = (0..entries)
            .map(|i| SocketAddr::from(([10, 1, (i / 250) as u8, (i % 250) as u8], 7100)))
            .collect();
        let agents = (0..agents).map(|i| {
            let name = format!("agent-{i}");
            let ranks: Vec<Rank> = addresses.iter().map(|e| rank(&name, *e)).collect();
            let mut order: Vec<usize> = (0..entries).collect();
            order.sort_by_key(|e| ranks[*e]);
            let visits =
                order.iter().enumerate().map(|(at, e)| (*e, schedule.first_delay(at))).collect();
            let mut positions = vec![0; entries];
            for (position, entry) in order.iter().enumerate() {
                positions[*entry] = position;
            }
            let labels = Rc::from([Name::from(format!("rack-{}", i / 5).as_str())]);
            let links = BTreeSet::new();
            Agent { labels, ready: true, alive: true, ranks, positions, links, visits }
        });
        let mut selector = AgentSelector::default();
        selector.set_entries(entries);
        Self {
            selector,
            schedule,
            now: Duration::ZERO,
            agents: agents.collect(),
            entries: vec![BTreeSet::new(); entries],
            messages: 0,
        }
    }

    fn run(mut self, time: Duration) -> Self {
        let end = self.now + time;
        while self.now < end {
            self.messages = 0;
            for a in 0..self.agents.len() {
                self.step(a);
            }
            self.now += HEARTBEAT_INTERVAL;
        }
        self
    }

    fn step(&mut self, a: usize) {
        let now = self.now;
        let agent = &mut self.agents[a];
        if !agent.alive {
            agent.links.clear();
            for entry in &mut self.entries {
                entry.remove(&a);
            }
            return;
        }
        let due: Vec<usize> =
            agent.visits.iter().filter(|(_, at)| **at <= now).map(|(e, _)| *e).collect();
        for entry in due {
            agent.visits.remove(&entry);
            agent.links.insert(entry);
        }
        for entry in agent.links.clone() {
            self.messages += 1;
            self.entries[entry].insert(a);
            if self.is_surplus(a, entry) {
                self.agents[a].links.remove(&entry);
                self.entries[entry].remove(&a);
                let next = now + self.schedule.revisit_interval(self.entries.len());
                self.agents[a].visits.insert(entry, next);
            }
        }
    }

    fn is_surplus(&self, a: usize, entry: usize) -> bool {
        let candidate = |a: usize| {
            let agent = &self.agents[a];
            let pinned = self.schedule.is_pinned(agent.positions[entry]);
            Candidate {
                rank: agent.ranks[entry],
                labels: agent.labels.clone(),
                ready: agent.ready,
                pinned,
            }
        };
        let others = self.entries[entry].iter().filter(|o| **o != a).map(|o| candidate(*o));
        self.selector.is_surplus(&candidate(a), others, self.now)
    }

    /// Number of agents that accept work and are connected to an entry.
    fn ready_agents(&self, entry: usize) -> usize {
        let is_ready = |a: &&usize| self.agents[**a].ready && self.agents[**a].alive;
        self.entries[entry].iter().filter(is_ready).count()
    }

    fn min_agents(&self) -> usize {
        (0..self.entries.len()).map(|e| self.ready_agents(e)).min().unwrap_or_default()
    }

    fn max_agents(&self) -> usize {
        (0..self.entries.len()).map(|e| self.ready_agents(e)).max().unwrap_or_default()
    }

    fn min_links(&self) -> usize {
        let alive = self.agents.iter().filter(|a| a.alive);
        alive.map(|a| a.links.len()).min().unwrap_or_default()
    }

    fn mean_links(&self) -> f64 {
        let all: usize = self.agents.iter().map(|a| a.links.len()).sum();
        all as f64 / self.agents.len() as f64
    }
}

#[test]
fn in_a_small_fleet_all_are_connected_at_once() {
    let fleet = Fleet::new(61, 9).run(HEARTBEAT_INTERVAL);
    assert_eq!((fleet.min_agents(), fleet.min_links()), (61, 9));
    assert_eq!(Fleet::new(61, 9).run(HEARTBEAT_INTERVAL * 100).min_agents(), 61);
}

#[test]
fn few_entries_use_all_agents() {
    let fleet = Fleet::new(500, 3).run(HEARTBEAT_INTERVAL * 20);
    assert_eq!((fleet.min_agents(), fleet.min_links()), (500, 3));
}

#[test]
fn every_entry_has_enough_agents_within_a_second() {
    let fleet = Fleet::new(260, 40).run(HEARTBEAT_INTERVAL * 4);
    assert!(fleet.min_agents() >= 28, "{}", fleet.min_agents());
    let fleet = fleet.run(Duration::from_secs(60));
    assert!(fleet.min_agents() >= 32, "{}", fleet.min_agents());
    assert!(fleet.min_links() >= 8, "{}", fleet.min_links());
}

#[test]
fn links_of_an_agent_dont_grow_with_the_fleet() {
    let (agents, entries) = (1600, 200);
    let fleet = Fleet::new(agents, entries).run(Duration::from_secs(120));
    assert!((8.0..=12.0).contains(&fleet.mean_links()), "{}", fleet.mean_links());
    assert!(fleet.min_agents() >= 32, "{}", fleet.min_agents());
    assert!(fleet.max_agents() <= 110, "{}", fleet.max_agents());
    // heartbeats at 4/s over 12 links, and two visits a second
    let limit = agents * 12 + agents;
    assert!(fleet.messages <= limit, "{} messages in a step", fleet.messages);
}

/// When each entry kept 64 agents, an agent had 15 sessions, and their heartbeats
/// cost more than the work.
#[test]
fn an_agent_of_a_large_fleet_has_few_sessions() {
    let fleet = Fleet::new(240, 55).run(Duration::from_secs(60));
    assert!(fleet.mean_links() <= 10.0, "{}", fleet.mean_links());
    assert!(fleet.min_agents() >= 32, "{}", fleet.min_agents());
}

#[test]
fn lost_agents_are_replaced_within_a_round_of_visits() {
    let mut fleet = Fleet::new(260, 40).run(Duration::from_secs(30));
    let mut rng = StdRng::seed_from_u64(1);
    for agent in &mut fleet.agents {
        agent.alive = rng.random_bool(0.5);
    }
    let alive = fleet.agents.iter().filter(|a| a.alive).count();
    let fleet = fleet.run(VisitSchedule::default().revisit_interval(40) + HEARTBEAT_INTERVAL);
    assert!(fleet.min_agents() >= 32.min(alive), "{} of {alive}", fleet.min_agents());
}

#[test]
fn agents_that_are_not_ready_are_not_counted() {
    let mut fleet = Fleet::new(260, 40).run(Duration::from_secs(30));
    for agent in fleet.agents.iter_mut().take(130) {
        agent.ready = false;
    }
    let fleet = fleet.run(VisitSchedule::default().revisit_interval(40) + HEARTBEAT_INTERVAL);
    assert!(fleet.min_agents() >= 32, "{}", fleet.min_agents());
}

#[test]
fn agents_with_a_required_label_stay_connected() {
    let mut fleet = Fleet::new(260, 40).run(Duration::from_secs(30));
    let mut rng = StdRng::seed_from_u64(2);
    let rack = fleet.agents.choose(&mut rng).expect("agents").labels[0].clone();
    fleet.selector.require_label(&rack, fleet.now);
    let fleet = fleet.run(VisitSchedule::default().revisit_interval(40) + HEARTBEAT_INTERVAL);
    for entry in &fleet.entries {
        let of_rack = entry.iter().filter(|a| fleet.agents[**a].labels.contains(&rack)).count();
        assert_eq!(of_rack, 5);
    }
}

#[test]
fn requirements_expire() {
    let mut fleet = Fleet::new(260, 40).run(Duration::from_secs(30));
    let before = fleet.mean_links();
    fleet.selector.require_width(150, fleet.now);
    let fleet = fleet.run(VisitSchedule::default().revisit_interval(40) + HEARTBEAT_INTERVAL);
    assert!(fleet.min_agents() >= 150, "{}", fleet.min_agents());
    let fleet = fleet.run(Duration::from_secs(60));
    assert!(fleet.mean_links() < before * 1.2, "{} links, {before} before", fleet.mean_links());
}

#[test]
fn the_agents_required_by_a_job_are_limited() {
    let mut selector = AgentSelector::new(SelectorSettings { target_agents: 2 });
    selector.require_width(1_000_000, Duration::ZERO);
    let candidate = |rank| Candidate { rank, labels: Rc::from([]), ready: true, pinned: false };
    assert!(!selector.is_surplus(&candidate(99), (0..15).map(candidate), Duration::ZERO));
    assert!(selector.is_surplus(&candidate(99), (0..16).map(candidate), Duration::ZERO));
}

#[test]
fn a_setting_without_a_limit_keeps_all_agents() {
    let mut selector = AgentSelector::new(SelectorSettings { target_agents: usize::MAX });
    selector.set_entries(55);
    let candidate = |rank| Candidate { rank, labels: Rc::from([]), ready: true, pinned: false };
    assert!(!selector.is_surplus(&candidate(999), (0..900).map(candidate), Duration::ZERO));
}

#[test]
fn an_agent_is_not_surplus_at_a_pinned_entry() {
    let selector = AgentSelector::new(SelectorSettings { target_agents: 1 });
    let candidate = |rank, pinned| Candidate { rank, labels: Rc::from([]), ready: true, pinned };
    let ahead = || [candidate(1, false)].into_iter();
    assert!(!selector.is_surplus(&candidate(9, true), ahead(), Duration::ZERO));
    assert!(selector.is_surplus(&candidate(9, false), ahead(), Duration::ZERO));
    assert!(!selector.is_surplus(&candidate(0, false), ahead(), Duration::ZERO));
}

#[test]
fn later_first_visits_are_spread_over_time() {
    let interval = Duration::from_millis(500);
    let schedule = VisitSchedule::new(ScheduleSettings { pinned: 1, interval });
    assert_eq!(
        [0, 1, 2, 3].map(|at| schedule.first_delay(at)),
        [Duration::ZERO, Duration::ZERO, interval, interval * 2]
    );
    assert_eq!(schedule.revisit_interval(40), interval * 40);
}
