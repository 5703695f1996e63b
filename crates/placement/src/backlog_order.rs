use std::{
    collections::BTreeMap,
    ops::Bound::{Excluded, Unbounded},
    time::Duration,
};

use base::{Name, Uptime};
use lease::{Class, Resources};

/// Most jobs that try at one wake-up. A decision takes less than 100 microseconds
/// at 300 agents, so all of them take less than 1 ms.
const MAX_TRIES: usize = 8;

/// Order in which the jobs of an entry wait for capacity, and which of them may try
/// when some may be free.
///
/// If every job is of a service with one class, only the first one tries. Otherwise
/// a job that can't be placed lets the next one of another shape try, so that it
/// doesn't hold up jobs that fit. One round of tries goes on at a time.
#[derive(Default)]
pub struct BacklogOrder {
    waiting: BTreeMap<Position, Waiter>,
    last_number: u64,
    /// waiting jobs of services with several classes
    ranked: usize,
    round: Option<Round>,
}

/// State of a job in the backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// some of its tasks have run
    Started,
    /// none has run, and it can still end in time
    Timely,
    Late,
}

/// What decides which agents can run a task of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shape {
    pub service: Name,
    pub class: Class,
    pub label: Name,
    pub rack: Name,
    pub resources: Resources,
}

/// A job that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    pub stage: Stage,
    pub shape: Shape,
    /// number of classes of its service
    pub classes: usize,
    pub arrived_at: Uptime,
    /// when it joined the backlog
    pub since: Uptime,
}

/// Position of a job in the backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Position {
    stage: Stage,
    class: Class,
    at: Uptime,
    number: u64,
}

/// Jobs of one class in the backlog.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassBacklog {
    pub class: Class,
    pub jobs: usize,
    pub longest_wait: Duration,
}

/// Tries after one wake-up.
struct Round {
    /// the job that tries now
    current: Position,
    tries: usize,
    failed: Vec<(Stage, Shape)>,
    /// capacity may have become free since the round began
    repeat: bool,
}

impl BacklogOrder {
    /// Adds a job.
    pub fn join(&mut self, waiter: Waiter) -> Position {
        self.last_number += 1;
        // without classes a job that becomes late goes behind all late ones
        let is_ranked = waiter.is_ranked();
        let class = match waiter.stage {
            Stage::Started => Class::default(),
            Stage::Timely | Stage::Late => waiter.shape.class,
        };
        let at = if is_ranked { waiter.arrived_at } else { waiter.since };
        let position = Position { stage: waiter.stage, class, at, number: self.last_number };
        self.ranked += usize::from(is_ranked);
        self.waiting.insert(position, waiter);
        position
    }

    /// The job that may try, because capacity may be free.
    pub fn wake(&mut self) -> Option<Position> {
        if self.ranked == 0 {
            return self.first();
        }
        match &mut self.round {
            Some(round) => {
                round.repeat = true;
                None
            }
            None => self.begin_round(),
        }
    }

    /// The job that may try after one that could not be placed as a whole.
    pub fn pass(&mut self, position: Position) -> Option<Position> {
        let round = self.round.as_mut().filter(|r| r.current == position)?;
        if let Some(waiter) = self.waiting.get(&position) {
            round.failed.push((waiter.stage, waiter.shape.clone()));
        }
        self.next_try(position)
    }

    /// Removes a job; gives the job that may try now.
    pub fn leave(&mut self, position: Position) -> Option<Position> {
        let waiter = self.waiting.remove(&position)?;
        self.ranked -= usize::from(waiter.is_ranked());
        if self.ranked == 0 {
            self.round = None;
            return self.first();
        }
        match &self.round {
            Some(round) if round.current == position => self.next_try(position),
            Some(_) => None,
            None => self.begin_round(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Longest wait so far of the jobs that go before a new one, which takes the same
    /// agents; of all jobs if its service has one class.
    pub fn wait_ahead(&self, shape: &Shape, classes: usize, now: Uptime) -> Duration {
        let is_ahead = |w: &&Waiter| {
            classes <= 1
                || w.stage != Stage::Late
                    && w.shape.class <= shape.class
                    && w.shape.shares_agents(shape)
        };
        let since = self.waiting.values().filter(is_ahead).map(|w| w.since).min();
        since.map(|s| now.saturating_sub(s)).unwrap_or_default()
    }

    /// Jobs of each class.
    pub fn by_class(&self, now: Uptime) -> Vec<ClassBacklog> {
        let mut classes: Vec<ClassBacklog> =
            Class::all().map(|class| ClassBacklog { class, ..ClassBacklog::default() }).collect();
        for waiter in self.waiting.values() {
            let it = &mut classes[waiter.shape.class.index()];
            it.jobs += 1;
            it.longest_wait = it.longest_wait.max(now.saturating_sub(waiter.since));
        }
        classes
    }

    fn first(&self) -> Option<Position> {
        self.waiting.first_key_value().map(|(position, _)| *position)
    }

    fn begin_round(&mut self) -> Option<Position> {
        let current = self.first()?;
        self.round = Some(Round { current, tries: 1, failed: Vec::new(), repeat: false });
        Some(current)
    }

    /// The next job behind a position whose shape has not failed in this round.
    fn next_try(&mut self, position: Position) -> Option<Position> {
        let round = self.round.as_mut()?;
        let mut behind = self.waiting.range((Excluded(position), Unbounded));
        let next = behind.find(|(_, w)| {
            round.failed.iter().all(|(stage, shape)| *stage != w.stage || *shape != w.shape)
        });
        match next {
            Some((next, _)) if round.tries < MAX_TRIES => {
                round.current = *next;
                round.tries += 1;
                Some(*next)
            }
            _ => {
                let repeat = round.repeat;
                self.round = None;
                if repeat { self.begin_round() } else { None }
            }
        }
    }
}

impl Waiter {
    fn is_ranked(&self) -> bool {
        self.classes > 1
    }
}

impl Shape {
    /// Whether tasks of both can run on the same agents.
    fn shares_agents(&self, other: &Shape) -> bool {
        let any_label = self.label.is_empty() || other.label.is_empty();
        self.service == other.service && (any_label || self.label == other.label)
    }
}
