//! The placer's choice without classes, which looks at all agents for each task: the
//! reference for services with one class.

use std::time::Duration;

use lease::Resources;
use placement::{AgentView, Assignment, Demand, Goal, PlacerSettings, Plan};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const MIN_WAIT: Duration = Duration::from_millis(10);

struct Candidate {
    index: usize,
    free: Resources,
    reserve: u32,
    wait: Duration,
    wait_per_task: Duration,
    run_time: Duration,
    jitter: Duration,
    max_tasks: usize,
    assigned: usize,
}

/// The plan of a placer with this seed that was not used before.
pub fn plan(seed: u64, agents: &[AgentView], demand: &Demand, goal: Goal) -> Plan {
    let settings = PlacerSettings::default();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut candidates = candidates(&settings, &mut rng, agents, demand);
    let mut unplaced = demand.count;
    while unplaced > 0 {
        let eligible = candidates.iter_mut().filter(|c| c.is_eligible(&settings, demand, goal));
        let best = eligible.min_by_key(|c| (!c.has_capacity(demand), c.cost(&settings, demand)));
        let Some(best) = best else { break };
        if best.has_capacity(demand) {
            best.free = best.free.minus(demand.resources);
        } else {
            best.wait += best.wait_per_task;
        }
        best.assigned += 1;
        unplaced -= 1;
    }
    let used = candidates.into_iter().filter(|c| c.assigned > 0);
    let assignments = used.map(|c| Assignment {
        agent: c.index,
        tasks: c.assigned,
        max_wait: match goal {
            Goal::InTime => {
                let wait = demand.objective.max_wait(demand.age, c.run_time);
                wait.unwrap_or_default().max(MIN_WAIT)
            }
            Goal::Immediate | Goal::Spare => MIN_WAIT,
        },
    });
    Plan { assignments: assignments.collect(), unplaced }
}

fn candidates(
    settings: &PlacerSettings,
    rng: &mut SmallRng,
    agents: &[AgentView],
    demand: &Demand,
) -> Vec<Candidate> {
    let fits = |a: &AgentView| demand.resources.fits(a.load.capacity);
    let usable = agents.iter().enumerate().filter(|(_, a)| a.load.ready && !a.excluded && fits(a));
    usable
        .map(|(index, agent)| {
            let unreported = agent.unreported[0];
            let factor = agent.load.slowness.max(0.01) * agent.distance_factor.max(1.0);
            let run_time = demand.estimate.mul_f64(factor);
            let capacity = f64::from(agent.load.capacity.cpu.max(1));
            let wait_per_task = run_time.mul_f64(f64::from(demand.resources.cpu) / capacity);
            let tasks = f64::from(unreported.cpu) / f64::from(demand.resources.cpu.max(1));
            let free = agent.load.free.minus(unreported);
            let is_full = !demand.resources.fits(free);
            let added = if is_full { wait_per_task.mul_f64(tasks) } else { Duration::ZERO };
            let max_tasks = agent.max_tasks.unwrap_or(usize::MAX);
            Candidate {
                index,
                free,
                reserve: (capacity * settings.reserve) as u32,
                wait: agent.load.expected_wait + added,
                wait_per_task,
                run_time,
                jitter: run_time.mul_f64(rng.random::<f64>() * settings.jitter),
                max_tasks: if agent.load.suspect { max_tasks.min(1) } else { max_tasks },
                assigned: 0,
            }
        })
        .collect()
}

impl Candidate {
    fn has_capacity(&self, demand: &Demand) -> bool {
        demand.resources.fits(self.free) && self.wait.is_zero()
    }

    fn is_eligible(&self, settings: &PlacerSettings, demand: &Demand, goal: Goal) -> bool {
        if self.assigned >= self.max_tasks {
            return false;
        }
        let is_spare = || {
            let is_too_slow = demand.objective.max_wait(Duration::ZERO, self.run_time).is_none();
            is_too_slow || self.free.cpu >= self.reserve
        };
        match goal {
            Goal::InTime => {
                let max_wait = demand.objective.max_wait(demand.age, self.run_time);
                let planned = max_wait.map(|wait| wait.mul_f64(settings.planned_wait));
                planned.is_some_and(|planned| self.expected_wait(demand) <= planned)
            }
            Goal::Immediate => self.has_capacity(demand),
            Goal::Spare => self.has_capacity(demand) && is_spare(),
        }
    }

    fn expected_wait(&self, demand: &Demand) -> Duration {
        if self.has_capacity(demand) { Duration::ZERO } else { self.wait + self.wait_per_task }
    }

    fn cost(&self, settings: &PlacerSettings, demand: &Demand) -> Duration {
        if !self.has_capacity(demand) {
            return self.expected_wait(demand) + self.run_time + self.jitter;
        }
        let spare = self.free.room_for(demand.resources).saturating_sub(1).min(32);
        let risk = settings.collision_cost * settings.collision_risk.powi(spare as i32);
        self.run_time + self.run_time.mul_f64(risk) + self.jitter
    }
}
