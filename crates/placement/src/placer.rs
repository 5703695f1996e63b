use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use lease::{Class, Resources};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{AgentView, Objective};

/// Wait in an agent's queue that is always allowed, also where its newest report
/// showed free capacity.
const MIN_WAIT: Duration = Duration::from_millis(10);
/// A job waits only if this multiple of its estimate is left after the expected wait.
const RUN_TIME_MARGIN: f64 = 2.0;

/// Settings of the choice between agents.
#[derive(Clone, Debug)]
pub struct PlacerSettings {
    /// probability that another entry takes the last free capacity of an agent
    /// first, 0 to 1
    pub collision_risk: f64,
    /// cost of such a collision, as a share of the run time
    pub collision_cost: f64,
    /// random addition to costs, up to this share of the run time, so that
    /// entries with the same view make different choices
    pub jitter: f64,
    /// share of the longest wait that a placement may count on, 0 to 1; the rest
    /// covers estimates that are off and loads that have changed since a report
    pub planned_wait: f64,
    /// factor on `planned_wait` for each class that is more urgent, 0 to 1: its tasks
    /// may overtake; more than 0.25 let agents return so many tasks that less was
    /// done in time than without classes
    pub overtaken_wait: f64,
    /// share of an agent's capacity that must be free for late jobs to use any, 0
    /// to 1
    pub reserve: f64,
    /// cost of an agent on a rack that the job doesn't need, as a share of the
    /// estimate for each unit of the rack's pressure above 1
    pub rack_cost: f64,
    /// highest cost of this kind, as a share of the estimate
    pub max_rack_cost: f64,
    /// shortest delay until a refused caller retries
    pub min_retry_delay: Duration,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            collision_risk: 0.6,
            collision_cost: 0.5,
            jitter: 0.05,
            planned_wait: 0.5,
            overtaken_wait: 0.25,
            reserve: 0.5,
            rack_cost: 1.0,
            max_rack_cost: 2.0,
            min_retry_delay: Duration::from_millis(1000),
        }
    }
}

impl PlacerSettings {
    /// Share of the longest wait that a placement of a class may count on.
    fn planned_wait(&self, class: Class) -> f64 {
        self.planned_wait * self.overtaken_wait.powi(class.index() as i32)
    }
}

/// Tasks of a job to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// resources that each task needs
    pub resources: Resources,
    pub count: usize,
    pub estimate: Duration,
    pub class: Class,
    pub objective: Objective,
    /// time since the job arrived
    pub age: Duration,
}

/// Assignment of tasks to agents.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    pub assignments: Vec<Assignment>,
    /// tasks without an agent
    pub unplaced: usize,
}

/// Tasks for one agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// index into the list of agents
    pub agent: usize,
    pub tasks: usize,
    /// longest wait in the agent's queue
    pub max_wait: Duration,
}

/// Which agents are acceptable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// those where a task is expected to end within the objective
    InTime,
    /// those with free capacity now, because the objective is missed anyway
    Immediate,
    /// those with free capacity that a job which arrives now would not miss
    Spare,
}

/// Turn of a job that can't be placed to end in time as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// some of its tasks have run, or may have
    Started,
    /// none of its tasks has run, and no other job goes first
    First,
    /// other jobs go first
    Behind,
}

/// What goes before a job at its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ahead {
    /// number of classes of its service
    pub classes: usize,
    /// longest wait so far of the jobs that go before it
    pub wait: Duration,
}

/// Refusal of a job, with the delay after which the caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub retry_after: Duration,
}

/// Assigns the tasks of jobs to agents.
pub struct Placer {
    settings: PlacerSettings,
    rng: SmallRng,
}

struct Candidate {
    index: usize,
    free: Resources,
    /// millicores that must be free for late jobs to use any
    reserve: u32,
    /// expected wait of the next task
    wait: Duration,
    /// wait added by one more task
    wait_per_task: Duration,
    run_time: Duration,
    jitter: Duration,
    /// cost of the pressure of its rack
    rack_cost: Duration,
    is_far: bool,
    max_tasks: usize,
    assigned: usize,
}

impl Ahead {
    /// Whether a job may end within `time_left` after the jobs that go before it.
    pub fn leaves_time(&self, estimate: Duration, time_left: Duration) -> bool {
        self.wait + estimate.mul_f64(RUN_TIME_MARGIN) < time_left
    }
}

impl Placer {
    pub fn new(settings: PlacerSettings, seed: u64) -> Self {
        Self { settings, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Places a job, as a whole if it can end in time; `None` when it is better to
    /// wait.
    pub fn place(&mut self, agents: &[AgentView], demand: &Demand, turn: Turn) -> Option<Plan> {
        // part of a job is of little use to the caller, so tasks are placed to end in
        // time only if all of them can be
        let plan = self.plan(agents, demand, Goal::InTime);
        if plan.unplaced == 0 {
            return Some(plan);
        }
        let goal = match turn {
            Turn::Started => Goal::Immediate,
            Turn::First if self.may_end_in_time(agents, demand) => return None,
            Turn::First => Goal::Spare,
            Turn::Behind => return None,
        };
        let plan = self.plan(agents, demand, goal);
        (!plan.assignments.is_empty()).then_some(plan)
    }

    /// Whether a task that starts now can end in time at any agent.
    pub fn may_end_in_time(&self, agents: &[AgentView], demand: &Demand) -> bool {
        let mut usable = agents.iter().filter(|a| a.is_usable(demand.resources));
        usable.any(|a| demand.objective.max_wait(demand.age, a.run_time(demand.estimate)).is_some())
    }

    /// Finds an agent for each task: the one with free capacity where the task
    /// is expected to end first, or else one where it waits and ends in time.
    pub fn plan(&mut self, agents: &[AgentView], demand: &Demand, goal: Goal) -> Plan {
        let mut candidates = self.candidates(agents, demand);
        let settings = &self.settings;
        let is_eligible = |c: &Candidate| c.is_eligible(settings, demand, goal);
        // free capacity is preferred: it is known, while waits are estimates
        let key = |position: usize, c: &Candidate| {
            Reverse((!c.has_capacity(demand), c.cost(settings, demand), position))
        };
        let all = || candidates.iter().enumerate().filter(|(_, c)| is_eligible(c));
        let by_end = |(i, c): (usize, &Candidate)| Reverse((c.end(demand), i));
        // a task goes far from its data only where it ends before any end near it;
        // other far candidates are in `detours`. An assignment changes only its own
        // candidate, and never to an earlier end. So the earliest end near the data
        // only rises, and a candidate that has left `detours` returns to it only
        // after an assignment to it.
        let mut eligible: BinaryHeap<_> =
            all().filter(|(_, c)| !c.is_far).map(|(i, c)| key(i, c)).collect();
        let mut detours: BinaryHeap<_> = all().filter(|(_, c)| c.is_far).map(by_end).collect();
        let mut near_ends = BinaryHeap::new();
        if !detours.is_empty() {
            near_ends.extend(all().filter(|(_, c)| !c.is_far).map(by_end));
        }
        let mut unplaced = demand.count;
        while unplaced > 0 {
            while let Some(Reverse((end, position))) = detours.peek().copied() {
                let near_end = earliest_end(&mut near_ends, |i| {
                    let near = &candidates[i];
                    is_eligible(near).then(|| near.end(demand))
                });
                if near_end.is_some_and(|near| end >= near) {
                    break;
                }
                detours.pop();
                eligible.push(key(position, &candidates[position]));
            }
            let Some(Reverse((_, _, position))) = eligible.pop() else { break };
            let best = &mut candidates[position];
            best.assign(demand);
            unplaced -= 1;
            if !is_eligible(best) {
                continue;
            }
            if best.is_far {
                detours.push(Reverse((best.end(demand), position)));
            } else {
                eligible.push(key(position, best));
            }
        }
        let used = candidates.into_iter().filter(|c| c.assigned > 0);
        let assignments = used.map(|c| Assignment {
            agent: c.index,
            tasks: c.assigned,
            max_wait: c.max_wait(demand, goal),
        });
        Plan { assignments: assignments.collect(), unplaced }
    }

    /// Whether a job that can't be placed now is likely to get capacity while an
    /// answer is of use, for another `time_left`.
    pub fn may_wait(
        &self,
        agents: &[AgentView],
        demand: &Demand,
        ahead: Ahead,
        time_left: Duration,
    ) -> bool {
        if ahead.classes <= 1 {
            let any_ready = agents.iter().any(|a| a.load.ready);
            return any_ready && ahead.leaves_time(demand.estimate, time_left);
        }
        let margin = demand.estimate.mul_f64(RUN_TIME_MARGIN);
        let fits = |a: &&AgentView| a.load.ready && demand.resources.fits(a.load.capacity);
        agents.iter().filter(fits).any(|a| {
            let (wait, run_time) = (a.load.wait(demand.class), a.run_time(demand.estimate));
            // capacity for a part of its tasks shows that there is some for jobs like it
            let is_free = wait.is_zero() && demand.resources.fits(a.free());
            let time = if is_free { run_time } else { wait.max(ahead.wait) + run_time.max(margin) };
            time < time_left
        })
    }

    /// When a caller should send a refused job again: after the expected wait, plus a
    /// random delay of up to the same length, so that callers don't return together.
    /// Each class has its part of the random delay, the most urgent one the first.
    pub fn refuse(&mut self, agents: &[AgentView], demand: &Demand, ahead: Ahead) -> Refusal {
        let usable = agents.iter().filter(|a| a.load.ready && !a.excluded);
        let class = demand.class;
        let wait = usable.map(|a| a.load.wait(class)).min().unwrap_or_default();
        let wait = if ahead.classes > 1 { wait.max(ahead.wait) } else { wait + demand.estimate };
        let after = wait.max(self.settings.min_retry_delay);
        let part = class.index() as f64 + self.rng.random::<f64>();
        let spread = part / ahead.classes.max(class.index() + 1) as f64;
        Refusal { retry_after: after + after.mul_f64(spread) }
    }

    fn candidates(&mut self, agents: &[AgentView], demand: &Demand) -> Vec<Candidate> {
        let usable = agents.iter().enumerate().filter(|(_, a)| a.is_usable(demand.resources));
        usable
            .map(|(index, agent)| {
                let max_tasks = agent.max_tasks.unwrap_or(usize::MAX);
                let run_time = agent.run_time(demand.estimate);
                let capacity = f64::from(agent.load.capacity.cpu.max(1));
                let wait_per_task = run_time.mul_f64(f64::from(demand.resources.cpu) / capacity);
                let unreported_tasks = f64::from(agent.unreported_cpu(demand.class))
                    / f64::from(demand.resources.cpu.max(1));
                let free = agent.free();
                let is_full = !demand.resources.fits(free);
                let pressure = (agent.rack_pressure - 1.0).max(0.0) * self.settings.rack_cost;
                let added =
                    if is_full { wait_per_task.mul_f64(unreported_tasks) } else { Duration::ZERO };
                Candidate {
                    index,
                    free,
                    reserve: (capacity * self.settings.reserve) as u32,
                    wait: agent.load.wait(demand.class) + added,
                    wait_per_task,
                    run_time,
                    jitter: run_time.mul_f64(self.rng.random::<f64>() * self.settings.jitter),
                    rack_cost: demand.estimate.mul_f64(pressure.min(self.settings.max_rack_cost)),
                    is_far: agent.distance_factor > 1.0,
                    // a suspect backend server gets a single task, as a probe
                    max_tasks: if agent.load.suspect { max_tasks.min(1) } else { max_tasks },
                    assigned: 0,
                }
            })
            .collect()
    }
}

impl Candidate {
    fn has_capacity(&self, demand: &Demand) -> bool {
        demand.resources.fits(self.free) && self.wait.is_zero()
    }

    fn is_eligible(&self, settings: &PlacerSettings, demand: &Demand, goal: Goal) -> bool {
        if self.assigned >= self.max_tasks {
            return false;
        }
        match goal {
            Goal::InTime => {
                let max_wait = demand.objective.max_wait(demand.age, self.run_time);
                let planned =
                    max_wait.map(|wait| wait.mul_f64(settings.planned_wait(demand.class)));
                planned.is_some_and(|planned| self.expected_wait(demand) <= planned)
            }
            Goal::Immediate => self.has_capacity(demand),
            Goal::Spare => self.has_capacity(demand) && self.is_spare(demand),
        }
    }

    /// Whether jobs that arrive now are not expected to miss its free capacity:
    /// there is plenty, or it is too slow for them.
    fn is_spare(&self, demand: &Demand) -> bool {
        let is_too_slow = demand.objective.max_wait(Duration::ZERO, self.run_time).is_none();
        is_too_slow || self.free.cpu >= self.reserve
    }

    fn expected_wait(&self, demand: &Demand) -> Duration {
        if self.has_capacity(demand) { Duration::ZERO } else { self.wait + self.wait_per_task }
    }

    /// Expected time until the next task ends.
    fn end(&self, demand: &Demand) -> Duration {
        self.expected_wait(demand) + self.run_time
    }

    fn max_wait(&self, demand: &Demand, goal: Goal) -> Duration {
        match goal {
            Goal::InTime => demand
                .objective
                .max_wait(demand.age, self.run_time)
                .unwrap_or_default()
                .max(MIN_WAIT),
            Goal::Immediate | Goal::Spare => MIN_WAIT,
        }
    }

    fn cost(&self, settings: &PlacerSettings, demand: &Demand) -> Duration {
        if !self.has_capacity(demand) {
            return self.end(demand) + self.jitter + self.rack_cost;
        }
        // with 32 spare tasks and more the risk is negligible
        let spare = self.free.room_for(demand.resources).saturating_sub(1).min(32);
        let risk = settings.collision_cost * settings.collision_risk.powi(spare as i32);
        self.run_time + self.run_time.mul_f64(risk) + self.jitter + self.rack_cost
    }

    fn assign(&mut self, demand: &Demand) {
        if self.has_capacity(demand) {
            self.free = self.free.minus(demand.resources);
        } else {
            self.wait += self.wait_per_task;
        }
        self.assigned += 1;
    }
}

/// Earliest end in `ends`, whose entries may be too early or no longer count: `end`
/// gives the present end of each, or `None`.
fn earliest_end(
    ends: &mut BinaryHeap<Reverse<(Duration, usize)>>,
    end: impl Fn(usize) -> Option<Duration>,
) -> Option<Duration> {
    while let Some(Reverse((recorded, position))) = ends.peek().copied() {
        let present = end(position);
        if present == Some(recorded) {
            return present;
        }
        ends.pop();
        ends.extend(present.map(|present| Reverse((present, position))));
    }
    None
}
