//! Plays fleets of many sizes against the decisions of agents and entries, in
//! steps of a greeting, and checks who ends up in touch with whom.

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

/// Between two greetings of an agent and an entry in touch.
const BEAT: Duration = Duration::from_millis(250);

struct Agent {
    labels: Rc<[Name]>,
    ready: bool,
    alive: bool,
    /// of each entry
    ranks: Vec<Rank>,
    /// of each entry in the agent's order
    positions: Vec<usize>,
    /// entries in touch
    links: BTreeSet<usize>,
    /// next visit to each of the others
    visits: BTreeMap<usize, Duration>,
}

struct Fleet {
    circle: AgentSelector,
    rounds: VisitSchedule,
    now: Duration,
    agents: Vec<Agent>,
    /// agents in touch with each entry
    entries: Vec<BTreeSet<usize>>,
    /// greetings and visits of the last step
    messages: usize,
}

impl Fleet {
    fn new(agents: usize, entries: usize) -> Self {
        let rounds = VisitSchedule::default();
        let addresses: Vec<SocketAddr> = (0..entries)
            .map(|i| SocketAddr::from(([10, 1, (i / 250) as u8, (i % 250) as u8], 7100)))
            .collect();
        let agents = (0..agents).map(|i| {
            let name = format!("agent-{i}");
            let ranks: Vec<Rank> = addresses.iter().map(|e| rank(&name, *e)).collect();
            let mut order: Vec<usize> = (0..entries).collect();
            order.sort_by_key(|e| ranks[*e]);
            let visits =
                order.iter().enumerate().map(|(at, e)| (*e, rounds.first_delay(at))).collect();
            let mut positions = vec![0; entries];
            for (position, entry) in order.iter().enumerate() {
                positions[*entry] = position;
            }
            let labels = Rc::from([Name::from(format!("rack-{}", i / 5).as_str())]);
            let links = BTreeSet::new();
            Agent { labels, ready: true, alive: true, ranks, positions, links, visits }
        });
        Self {
            circle: AgentSelector::default(),
            rounds,
            now: Duration::ZERO,
            agents: agents.collect(),
            entries: vec![BTreeSet::new(); entries],
            messages: 0,
        }
    }

    fn play(mut self, time: Duration) -> Self {
        let end = self.now + time;
        while self.now < end {
            self.messages = 0;
            for a in 0..self.agents.len() {
                self.step(a);
            }
            self.now += BEAT;
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
            if self.is_spare(a, entry) {
                self.agents[a].links.remove(&entry);
                self.entries[entry].remove(&a);
                let next = now + self.rounds.revisit_interval(self.entries.len());
                self.agents[a].visits.insert(entry, next);
            }
        }
    }

    fn is_spare(&self, a: usize, entry: usize) -> bool {
        let member = |a: usize| {
            let agent = &self.agents[a];
            let firm = self.rounds.is_pinned(agent.positions[entry]);
            Candidate {
                rank: agent.ranks[entry],
                labels: agent.labels.clone(),
                ready: agent.ready,
                pinned: firm,
            }
        };
        let others = self.entries[entry].iter().filter(|o| **o != a).map(|o| member(*o));
        self.circle.is_surplus(&member(a), others, self.now)
    }

    /// Agents that take work and are in touch with an entry.
    fn ready(&self, entry: usize) -> usize {
        let is_ready = |a: &&usize| self.agents[**a].ready && self.agents[**a].alive;
        self.entries[entry].iter().filter(is_ready).count()
    }

    fn least_agents(&self) -> usize {
        (0..self.entries.len()).map(|e| self.ready(e)).min().unwrap_or_default()
    }

    fn most_agents(&self) -> usize {
        (0..self.entries.len()).map(|e| self.ready(e)).max().unwrap_or_default()
    }

    fn least_links(&self) -> usize {
        let alive = self.agents.iter().filter(|a| a.alive);
        alive.map(|a| a.links.len()).min().unwrap_or_default()
    }

    fn links(&self) -> f64 {
        let all: usize = self.agents.iter().map(|a| a.links.len()).sum();
        all as f64 / self.agents.len() as f64
    }
}

#[test]
fn in_a_small_fleet_all_are_in_touch_at_once() {
    let fleet = Fleet::new(61, 9).play(BEAT);
    assert_eq!((fleet.least_agents(), fleet.least_links()), (61, 9));
    assert_eq!(Fleet::new(61, 9).play(BEAT * 100).least_agents(), 61);
}

#[test]
fn few_entries_use_all_agents() {
    let fleet = Fleet::new(500, 3).play(BEAT * 20);
    assert_eq!((fleet.least_agents(), fleet.least_links()), (500, 3));
}

#[test]
fn every_entry_has_enough_agents_from_the_first_second_on() {
    let fleet = Fleet::new(260, 40).play(BEAT * 4);
    assert!(fleet.least_agents() >= 55, "{}", fleet.least_agents());
    let fleet = fleet.play(Duration::from_secs(60));
    assert!(fleet.least_agents() >= 64, "{}", fleet.least_agents());
    assert!(fleet.least_links() >= 8, "{}", fleet.least_links());
}

#[test]
fn links_of_an_agent_dont_grow_with_the_fleet() {
    let (agents, entries) = (1600, 200);
    let fleet = Fleet::new(agents, entries).play(Duration::from_secs(120));
    assert!((8.0..=12.0).contains(&fleet.links()), "{}", fleet.links());
    assert!(fleet.least_agents() >= 50, "{}", fleet.least_agents());
    assert!(fleet.most_agents() <= 110, "{}", fleet.most_agents());
    // greetings at 4/s a link, and two visits a second
    let most = agents * 12 + agents;
    assert!(fleet.messages <= most, "{} messages in a beat", fleet.messages);
}

#[test]
fn lost_agents_are_made_up_for_within_a_round() {
    let mut fleet = Fleet::new(260, 40).play(Duration::from_secs(30));
    let mut rng = StdRng::seed_from_u64(1);
    for agent in &mut fleet.agents {
        agent.alive = rng.random_bool(0.5);
    }
    let alive = fleet.agents.iter().filter(|a| a.alive).count();
    let fleet = fleet.play(VisitSchedule::default().revisit_interval(40) + BEAT);
    assert!(fleet.least_agents() >= 64.min(alive), "{} of {alive}", fleet.least_agents());
}

#[test]
fn agents_that_take_no_work_are_not_counted() {
    let mut fleet = Fleet::new(260, 40).play(Duration::from_secs(30));
    for agent in fleet.agents.iter_mut().take(130) {
        agent.ready = false;
    }
    let fleet = fleet.play(VisitSchedule::default().revisit_interval(40) + BEAT);
    assert!(fleet.least_agents() >= 64, "{}", fleet.least_agents());
}

#[test]
fn agents_with_a_label_that_jobs_ask_for_are_kept() {
    let mut fleet = Fleet::new(260, 40).play(Duration::from_secs(30));
    let mut rng = StdRng::seed_from_u64(2);
    let rack = fleet.agents.choose(&mut rng).expect("agents").labels[0].clone();
    fleet.circle.require_label(&rack, fleet.now);
    let fleet = fleet.play(VisitSchedule::default().revisit_interval(40) + BEAT);
    for entry in &fleet.entries {
        let of_rack = entry.iter().filter(|a| fleet.agents[**a].labels.contains(&rack)).count();
        assert_eq!(of_rack, 5);
    }
}

#[test]
fn what_no_job_asks_for_any_more_is_not_sought() {
    let mut fleet = Fleet::new(260, 40).play(Duration::from_secs(30));
    let before = fleet.links();
    fleet.circle.require_width(150, fleet.now);
    let fleet = fleet.play(VisitSchedule::default().revisit_interval(40) + BEAT);
    assert!(fleet.least_agents() >= 150, "{}", fleet.least_agents());
    let fleet = fleet.play(Duration::from_secs(60));
    assert!(fleet.links() < before * 1.2, "{} links, {before} before", fleet.links());
}

#[test]
fn a_job_can_not_have_all_agents_sought() {
    let mut circle = AgentSelector::new(SelectorSettings { target_agents: 2 });
    circle.require_width(1_000_000, Duration::ZERO);
    let member = |rank| Candidate { rank, labels: Rc::from([]), ready: true, pinned: false };
    assert!(!circle.is_surplus(&member(99), (0..15).map(member), Duration::ZERO));
    assert!(circle.is_surplus(&member(99), (0..16).map(member), Duration::ZERO));
}

#[test]
fn an_agent_is_not_let_go_by_an_entry_that_it_counts_on() {
    let circle = AgentSelector::new(SelectorSettings { target_agents: 1 });
    let member = |rank, firm| Candidate { rank, labels: Rc::from([]), ready: true, pinned: firm };
    let ahead = || [member(1, false)].into_iter();
    assert!(!circle.is_surplus(&member(9, true), ahead(), Duration::ZERO));
    assert!(circle.is_surplus(&member(9, false), ahead(), Duration::ZERO));
    assert!(!circle.is_surplus(&member(0, false), ahead(), Duration::ZERO));
}

#[test]
fn first_visits_are_spread_once_enough_were_made_at_once() {
    let pause = Duration::from_millis(500);
    let rounds = VisitSchedule::new(ScheduleSettings { pinned: 1, interval: pause });
    assert_eq!(
        [0, 1, 2, 3].map(|at| rounds.first_delay(at)),
        [Duration::ZERO, Duration::ZERO, pause, pause * 2]
    );
    assert_eq!(rounds.revisit_interval(40), pause * 40);
}
