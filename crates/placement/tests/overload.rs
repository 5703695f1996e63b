//! Simulates an overload of three entries and eleven agents without a network,
//! and checks what callers get: three kinds of jobs of different length, backend
//! servers of different speed and capacity, and for some seconds more work
//! than they can do.

use std::{collections::BTreeMap, time::Duration};

use base::Uptime;
use lease::{
    Batch, BatchTask, Class, Effect, EndCause, Ending, HealthSettings, LeaseBounds, LeaseTimings,
    Listing, Resources, RunEnd, RunKey, RunProgress, Scheduler, SchedulerSettings, SessionId,
    StartOutcome, TaskRef,
};
use placement::{AgentView, Demand, Goal, Objective, ObjectiveSettings, Placer, PlacerSettings};
use rand::{Rng, SeedableRng, rngs::StdRng};

const ENTRIES: usize = 3;
const SPEEDS: [f64; 11] = [1.2, 0.55, 1.2, 1.2, 0.55, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2];
const CORES: [u32; 11] = [64, 64, 96, 64, 64, 96, 64, 64, 96, 64, 64];
const STEP: Duration = Duration::from_millis(1);
/// Time between load reports of an agent, beside those in replies.
const REPORT_INTERVAL_MS: u64 = 130;
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Multiple of its objective after which a late answer is of no use.
const LATE_FACTOR: u32 = 3;

/// Work in milliseconds, tasks per job and jobs per second of each kind.
const KINDS: [(u64, u32, f64); 3] = [(51, 8, 30.0), (760, 4, 5.5), (170, 2, 88.0)];

#[derive(Clone, Debug)]
struct Job {
    kind: usize,
    arrived_at: Uptime,
    estimate: Duration,
    objective: Objective,
    /// actual run time of each task at speed 1
    work: Vec<Duration>,
    unplaced: Vec<u32>,
    pending: usize,
    entry: usize,
    ended_at: Option<Uptime>,
    refused: bool,
}

struct Agent {
    scheduler: Scheduler,
    speed: f64,
    /// number, start and end of each run
    running: BTreeMap<TaskRef, (u32, Uptime, Uptime)>,
    ended: Vec<RunEnd>,
    last_end: u64,
}

/// Outcomes of the jobs of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    submitted: u32,
    timely: u32,
    late: u32,
    refused: u32,
}

impl Outcomes {
    fn timely_share(self) -> f64 {
        f64::from(self.timely) / f64::from(self.submitted.max(1))
    }

    fn answered_share(self) -> f64 {
        f64::from(self.timely + self.late) / f64::from(self.submitted.max(1))
    }
}

struct Simulation {
    rng: StdRng,
    now: Uptime,
    timings: LeaseTimings,
    agents: Vec<Agent>,
    placers: Vec<Placer>,
    /// views of each entry
    views: Vec<Vec<AgentView>>,
    jobs: Vec<Job>,
    batches: BTreeMap<(usize, usize, u64), lease::BatchKey>,
    last_batch: u64,
    /// starts after the caller's timeout
    late_starts: u32,
    refused_with_capacity: u32,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let timings = LeaseTimings::new(&LeaseBounds::default()).expect("defaults are valid");
        let now = Duration::from_secs(100);
        let agents = SPEEDS.iter().zip(CORES).map(|(speed, cores)| {
            let health = HealthSettings::default();
            let mut scheduler =
                Scheduler::new(SchedulerSettings { timings, health, max_queued: 1000 });
            let capacity = Resources { cpu: cores * 1000, memory: 100_000, gpu: 0 };
            scheduler.on_announcement(1, capacity, false, now);
            scheduler.on_listing(
                &Listing { requested_at: now, started_ms: 1, ..Listing::default() },
                now,
            );
            let (running, ended) = (BTreeMap::new(), Vec::new());
            Agent { scheduler, speed: *speed, running, ended, last_end: 0 }
        });
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            timings,
            agents: agents.collect(),
            placers: (0..ENTRIES)
                .map(|i| Placer::new(PlacerSettings::default(), seed + i as u64))
                .collect(),
            views: vec![vec![AgentView::default(); SPEEDS.len()]; ENTRIES],
            jobs: Vec::new(),
            batches: BTreeMap::new(),
            last_batch: 0,
            late_starts: 0,
            refused_with_capacity: 0,
        };
        for entry in 0..ENTRIES {
            for agent in 0..SPEEDS.len() {
                simulation.report(entry, agent);
            }
        }
        simulation
    }

    /// Runs `seconds` of load, `peak` times the usual in the middle third.
    fn run(mut self, seconds: u64, peak: f64) -> (Self, [Outcomes; 3]) {
        let steps = seconds * 1000;
        for step in 0..steps + 4000 {
            self.now += STEP;
            let is_peak = (steps / 3..2 * steps / 3).contains(&step);
            if step < steps {
                self.submit_jobs(if is_peak { peak } else { 1.0 });
            }
            for i in 0..self.agents.len() {
                self.step_agent(i);
                if step % REPORT_INTERVAL_MS == (i as u64 * 11) % REPORT_INTERVAL_MS {
                    (0..ENTRIES).for_each(|e| self.report(e, i));
                }
            }
            self.step_jobs();
        }
        let outcomes = self.outcomes();
        (self, outcomes)
    }

    fn outcomes(&self) -> [Outcomes; 3] {
        let mut outcomes = [Outcomes::default(); 3];
        for job in &self.jobs {
            let it = &mut outcomes[job.kind];
            it.submitted += 1;
            let took = job.ended_at.map(|end| end - job.arrived_at);
            // the objective by the actual work, not by the estimate
            let longest = job.work.iter().max().copied().unwrap_or_default();
            let target = longest.mul_f64(1.6) + Duration::from_millis(60);
            match took {
                Some(took) if took <= target => it.timely += 1,
                Some(took) if took <= target * LATE_FACTOR => it.late += 1,
                _ if job.refused => it.refused += 1,
                _ => {}
            }
        }
        outcomes
    }

    fn submit_jobs(&mut self, factor: f64) {
        for (kind, (work_ms, width, rate)) in KINDS.into_iter().enumerate() {
            if !self.rng.random_bool((rate * factor / 1000.0).min(1.0)) {
                continue;
            }
            // a tenth of the jobs has four times as many tasks, a hundredth of the
            // tasks takes five times as long
            let wide = if self.rng.random_bool(0.1) { 4 } else { 1 };
            let mean = work_ms as f64 * self.rng.random_range(0.6..1.4);
            let work: Vec<Duration> = (0..width * wide)
                .map(|_| {
                    let tail = if self.rng.random_bool(0.01) { 5.0 } else { 1.0 };
                    let ms = mean * self.rng.random_range(0.85..1.15) * tail;
                    Duration::from_secs_f64(ms / 1000.0)
                })
                .collect();
            let off = self.rng.random_range(0.7..1.3);
            let estimate = Duration::from_secs_f64(mean * off / 1000.0);
            let extra = Duration::from_millis(60);
            self.jobs.push(Job {
                kind,
                arrived_at: self.now,
                estimate,
                objective: Objective::new(&ObjectiveSettings::default(), estimate, 1.6, extra),
                unplaced: (0..work.len() as u32).collect(),
                pending: work.len(),
                work,
                entry: self.rng.random_range(0..ENTRIES),
                ended_at: None,
                refused: false,
            });
        }
    }

    fn report(&mut self, entry: usize, agent: usize) {
        let name = "entry".into();
        let id = SessionId(entry as u64 + 1);
        self.agents[agent].scheduler.extend_session(id, &name, self.now, self.now);
        let load = self.agents[agent].scheduler.load(self.now);
        self.views[entry][agent] = AgentView { load, distance_factor: 1.0, ..AgentView::default() };
    }

    fn step_agent(&mut self, i: usize) {
        let now = self.now;
        let agent = &mut self.agents[i];
        let done: Vec<TaskRef> = agent
            .running
            .iter()
            .filter(|(_, (_, _, end))| *end <= now)
            .map(|(task, _)| task.clone())
            .collect();
        let any = !done.is_empty();
        for task in done {
            let Some((run, ..)) = agent.running.remove(&task) else { continue };
            agent.last_end += 1;
            agent.ended.push(RunEnd { sequence: agent.last_end, task, run, cause: EndCause::Done });
        }
        agent.scheduler.renew_lease(now);
        if any || now.as_millis() % 100 == i as u128 {
            let running = agent.running.iter().map(|(task, (run, begin, end))| {
                let share = (now - *begin).as_secs_f64() / (*end - *begin).as_secs_f64();
                RunProgress { task: task.clone(), run: *run, percent: (share * 100.0) as u32 }
            });
            let running = running.collect();
            let ended = std::mem::take(&mut agent.ended);
            agent
                .scheduler
                .on_listing(&Listing { requested_at: now, started_ms: 1, running, ended }, now);
        } else {
            agent.scheduler.tick(now);
        }
        for effect in self.agents[i].scheduler.take_effects() {
            if let Effect::Start(order) = effect {
                self.start(i, order.key, &order.task, order.run);
            }
        }
    }

    fn start(&mut self, i: usize, key: RunKey, task: &TaskRef, run: u32) {
        let number: usize = task.job.parse().expect("jobs are numbered");
        let job = &self.jobs[number];
        self.late_starts += u32::from(self.now - job.arrived_at > CALLER_TIMEOUT);
        let agent = &mut self.agents[i];
        let length = job.work[task.index as usize].div_f64(agent.speed);
        agent.running.insert(task.clone(), (run, self.now, self.now + length));
        assert!(agent.scheduler.lease_for_start(key, self.now).is_some());
        agent.scheduler.on_start_outcome(key, StartOutcome::Accepted, self.now);
    }

    fn step_jobs(&mut self) {
        let keys: Vec<_> = self.batches.iter().map(|(k, v)| (*k, *v)).collect();
        for ((number, agent, batch), key) in keys {
            let Some(progress) = self.agents[agent].scheduler.progress(key, 0, self.now) else {
                continue;
            };
            if progress.pending > 0 {
                continue;
            }
            self.batches.remove(&(number, agent, batch));
            let job = &mut self.jobs[number];
            for result in progress.results {
                match result.ending {
                    Ending::Done => job.pending -= 1,
                    _ => job.unplaced.push(result.index),
                }
            }
            if job.pending == 0 {
                job.ended_at = Some(self.now);
            }
            let entry = job.entry;
            self.report(entry, agent);
        }
        let open: Vec<usize> = (0..self.jobs.len())
            .filter(|n| {
                let job = &self.jobs[*n];
                let waits = self.now - job.arrived_at < CALLER_TIMEOUT;
                waits && !job.unplaced.is_empty() && !job.refused
            })
            .collect();
        let (untouched, started): (Vec<usize>, Vec<usize>) =
            open.into_iter().partition(|n| self.is_untouched(*n));
        for number in untouched.iter().chain(&started) {
            self.place(*number, Goal::InTime);
        }
        // then the backlog, started jobs first
        for number in started.iter().chain(&untouched) {
            self.place(*number, Goal::Immediate);
        }
    }

    fn is_untouched(&self, number: usize) -> bool {
        let job = &self.jobs[number];
        job.unplaced.len() == job.work.len()
    }

    fn place(&mut self, number: usize, goal: Goal) {
        let now = self.now;
        let job = &self.jobs[number];
        let age = now - job.arrived_at;
        if job.unplaced.is_empty() || job.refused {
            return;
        }
        let demand = Demand {
            resources: Resources { cpu: 6200, memory: 64, gpu: 0 },
            class: Class::default(),
            count: job.unplaced.len(),
            estimate: job.estimate,
            objective: job.objective,
            age,
        };
        let entry = job.entry;
        let plan = self.placers[entry].plan(&self.views[entry], &demand, goal);
        if goal == Goal::InTime && plan.unplaced > 0 {
            return;
        }
        if plan.assignments.is_empty()
            && age + job.estimate > job.objective.cutoff
            && self.is_untouched(number)
        {
            let has_capacity = self.views[entry].iter().any(|s| {
                s.load.ready
                    && demand.resources.fits(s.load.free.minus(s.unreported[0]))
                    && s.load.expected_wait.is_zero()
            });
            self.refused_with_capacity += u32::from(has_capacity);
            self.jobs[number].refused = true;
            return;
        }
        for assignment in plan.assignments {
            let job = &mut self.jobs[number];
            let tasks: Vec<u32> = job.unplaced.drain(..assignment.tasks).collect();
            self.last_batch += 1;
            let batch = Batch {
                number: self.last_batch,
                job: number.to_string().as_str().into(),
                queue: "queue".into(),
                spec: "".into(),
                resources: demand.resources,
                estimate: job.estimate,
                class: Class::default(),
                max_wait: assignment.max_wait,
                time_left: CALLER_TIMEOUT - age,
                tasks: tasks.iter().map(|i| BatchTask { index: *i, run: 1 }).collect(),
            };
            let id = SessionId(entry as u64 + 1);
            let agent = &mut self.agents[assignment.agent];
            agent.scheduler.extend_session(id, &"entry".into(), now, now);
            let key = agent.scheduler.place(id, batch, now);
            self.batches.insert((number, assignment.agent, self.last_batch), key);
            let view = &mut self.views[entry][assignment.agent];
            view.unreported[0] =
                view.unreported[0].plus(demand.resources.times(assignment.tasks as u32));
        }
    }

    /// Share of the answered jobs among the widest tenth of a kind, and in all.
    fn answered_shares(&self, kind: usize) -> (f64, f64) {
        let of_kind: Vec<&Job> = self.jobs.iter().filter(|j| j.kind == kind).collect();
        let (_, width, _) = KINDS[kind];
        let share = |jobs: Vec<&&Job>| {
            let ended = jobs.iter().filter(|j| j.ended_at.is_some()).count();
            ended as f64 / jobs.len().max(1) as f64
        };
        let wide = of_kind.iter().filter(|j| j.work.len() > width as usize).collect();
        (share(wide), share(of_kind.iter().collect()))
    }
}

#[test]
fn below_capacity_nearly_all_jobs_are_answered_in_time() {
    let (simulation, outcomes) = Simulation::new(1).run(9, 1.0);
    for (kind, it) in outcomes.iter().enumerate() {
        assert!(it.timely_share() > 0.9, "kind {kind}: {it:?}");
    }
    assert_eq!(outcomes.map(|s| s.refused), [0; 3]);
    assert!(simulation.timings.session_ttl > Duration::ZERO);
}

#[test]
fn in_an_overload_no_kind_or_size_of_job_starves() {
    let (simulation, outcomes) = Simulation::new(2).run(9, 2.2);
    for (kind, it) in outcomes.iter().enumerate() {
        assert!(it.answered_share() > 0.5, "kind {kind}: {it:?}");
        let (wide, all) = simulation.answered_shares(kind);
        assert!(wide > all / 2.0, "kind {kind}: {wide} of the widest, {all} of all");
    }
}

#[test]
fn no_task_starts_after_its_caller_timed_out() {
    let (simulation, _) = Simulation::new(3).run(9, 2.2);
    assert_eq!(simulation.late_starts, 0);
}

#[test]
fn no_untouched_job_is_refused_with_capacity_free() {
    let (simulation, _) = Simulation::new(4).run(9, 2.2);
    assert_eq!(simulation.refused_with_capacity, 0);
}

#[test]
fn after_an_overload_jobs_are_in_time_again() {
    let (simulation, _) = Simulation::new(5).run(9, 2.2);
    // the last second of load begins 2 s after the peak
    let end = simulation.jobs.last().map(|j| j.arrived_at).unwrap_or_default();
    let last: Vec<&Job> =
        simulation.jobs.iter().filter(|j| j.arrived_at + Duration::from_secs(1) > end).collect();
    let timely = last.iter().filter(|j| {
        let longest = j.work.iter().max().copied().unwrap_or_default();
        let target = longest.mul_f64(1.6) + Duration::from_millis(60);
        j.ended_at.is_some_and(|e| e - j.arrived_at <= target)
    });
    let share = timely.count() as f64 / last.len() as f64;
    assert!(share > 0.9, "{share}");
}
