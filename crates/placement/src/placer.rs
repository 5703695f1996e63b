use std::time::Duration;

use lease::Resources;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{AgentView, Objective};

/// Wait allowed where there was room a moment ago.
const LEAST_WAIT: Duration = Duration::from_millis(10);

/// Settings of the choice of agents.
#[derive(Clone, Debug)]
pub struct PlacerSettings {
    /// chance that another entry takes the last free room of an agent first, 0 to 1
    pub collision_risk: f64,
    /// cost of such a collision, as a share of the run time
    pub collision_cost: f64,
    /// costs differ by up to this share of the run time at random, so that
    /// entries with the same view don't choose alike
    pub jitter: f64,
    /// shortest time to come back
    pub min_retry_delay: Duration,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            collision_risk: 0.6,
            collision_cost: 0.5,
            jitter: 0.05,
            min_retry_delay: Duration::from_millis(1000),
        }
    }
}

/// What the tasks of a job ask for.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// of each task
    pub resources: Resources,
    pub count: usize,
    pub estimate: Duration,
    pub objective: Objective,
    /// time since the job arrived
    pub age: Duration,
}

/// Where the tasks go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    pub assignments: Vec<Assignment>,
    /// tasks without a place
    pub unplaced: usize,
}

/// Tasks for one agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// index of the agent among the seats
    pub agent: usize,
    pub tasks: usize,
    /// longest wait for their start
    pub max_wait: Duration,
}

/// Which places will do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// where the task is expected to end within the objective
    InTime,
    /// any with room now; the objective is missed anyway
    AnyRoom,
}

/// Why no place was found, and when it is worth coming back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub retry_after: Duration,
}

/// Spreads the tasks of jobs over agents.
pub struct Placer {
    settings: PlacerSettings,
    rng: SmallRng,
}

struct Candidate {
    index: usize,
    free: Resources,
    /// expected wait of the next task
    wait: Duration,
    /// wait that one more task adds
    turn: Duration,
    run: Duration,
    noise: Duration,
    /// tasks that it may get in all
    most: usize,
    taken: usize,
}

impl Placer {
    pub fn new(settings: PlacerSettings, seed: u64) -> Self {
        Self { settings, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Finds a place for each task: where there is room and it is expected to
    /// end first, or else where it waits and still ends in time.
    pub fn plan(&mut self, seats: &[AgentView], ask: &Demand, aim: Goal) -> Plan {
        let mut candidates = self.candidates(seats, ask);
        let mut left = ask.count;
        while left > 0 {
            let open = candidates.iter_mut().filter(|c| c.is_open(ask, aim));
            // a wait is a guess, room is not: what can start now goes first
            let best = open.min_by_key(|c| (!c.has_room(ask), c.cost(&self.settings, ask)));
            let Some(best) = best else { break };
            best.take(ask);
            left -= 1;
        }
        let taken = candidates.into_iter().filter(|c| c.taken > 0);
        let parts = taken.map(|c| Assignment {
            agent: c.index,
            tasks: c.taken,
            max_wait: c.longest(ask, aim),
        });
        Plan { assignments: parts.collect(), unplaced: left }
    }

    /// When a job that has no place is worth sending again: once what waits
    /// is worked off, each caller at a time of its own over as long again.
    pub fn refuse(&mut self, seats: &[AgentView], ask: &Demand) -> Refusal {
        let usable = seats.iter().filter(|s| s.load.ready && !s.excluded);
        let least = usable.map(|s| s.load.expected_wait).min().unwrap_or_default();
        let after = (least + ask.estimate).max(self.settings.min_retry_delay);
        Refusal { retry_after: after + after.mul_f64(self.rng.random()) }
    }

    fn candidates(&mut self, seats: &[AgentView], ask: &Demand) -> Vec<Candidate> {
        let usable = seats
            .iter()
            .enumerate()
            .filter(|(_, s)| s.load.ready && !s.excluded && ask.resources.fits(s.load.capacity));
        usable
            .map(|(index, seat)| {
                let most = seat.max_tasks.unwrap_or(usize::MAX);
                let run = ask
                    .estimate
                    .mul_f64(seat.load.slowness.max(0.01) * seat.distance_factor.max(1.0));
                let capacity = f64::from(seat.load.capacity.cpu.max(1));
                let turn = run.mul_f64(f64::from(ask.resources.cpu) / capacity);
                let sent = f64::from(seat.unreported.cpu) / f64::from(ask.resources.cpu.max(1));
                let full = !ask.resources.fits(seat.load.free.minus(seat.unreported));
                let ahead = if full { turn.mul_f64(sent) } else { Duration::ZERO };
                Candidate {
                    index,
                    free: seat.load.free.minus(seat.unreported),
                    wait: seat.load.expected_wait + ahead,
                    turn,
                    run,
                    noise: run.mul_f64(self.rng.random::<f64>() * self.settings.jitter),
                    // a suspect backend server is only tried
                    most: if seat.load.suspect { most.min(1) } else { most },
                    taken: 0,
                }
            })
            .collect()
    }
}

impl Candidate {
    fn has_room(&self, ask: &Demand) -> bool {
        ask.resources.fits(self.free) && self.wait.is_zero()
    }

    fn is_open(&self, ask: &Demand, aim: Goal) -> bool {
        if self.taken >= self.most {
            return false;
        }
        match aim {
            Goal::InTime => {
                let most = ask.objective.max_wait(ask.age, self.run);
                most.is_some_and(|most| self.expected_wait(ask) <= most)
            }
            Goal::AnyRoom => self.has_room(ask),
        }
    }

    fn expected_wait(&self, ask: &Demand) -> Duration {
        if self.has_room(ask) { Duration::ZERO } else { self.wait + self.turn }
    }

    fn longest(&self, ask: &Demand, aim: Goal) -> Duration {
        match aim {
            Goal::InTime => {
                ask.objective.max_wait(ask.age, self.run).unwrap_or_default().max(LEAST_WAIT)
            }
            Goal::AnyRoom => LEAST_WAIT,
        }
    }

    fn cost(&self, settings: &PlacerSettings, ask: &Demand) -> Duration {
        if !self.has_room(ask) {
            return self.expected_wait(ask) + self.run + self.noise;
        }
        let spare = self.free.room_for(ask.resources).saturating_sub(1).min(32);
        let risk = settings.collision_cost * settings.collision_risk.powi(spare as i32);
        self.run + self.run.mul_f64(risk) + self.noise
    }

    fn take(&mut self, ask: &Demand) {
        if self.has_room(ask) {
            self.free = self.free.minus(ask.resources);
        } else {
            self.wait += self.turn;
        }
        self.taken += 1;
    }
}
