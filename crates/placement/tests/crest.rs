//! Plays a crest against the decisions of three entries and eleven agents,
//! without a network, and checks what callers get: three kinds of jobs of
//! unequal length, backend servers of unequal speed and room, and more work
//! for some seconds than they can do.

use std::{collections::BTreeMap, time::Duration};

use base::Uptime;
use lease::{
    Batch, Effect, EndCause, Ending, HealthSettings, LeaseBounds, LeaseTimings, Listing, Placement,
    Resources, RunEnd, RunKey, RunProgress, Scheduler, SchedulerSettings, SessionId, StartOutcome,
    TaskRef,
};
use placement::{AgentView, Demand, Goal, Objective, ObjectiveSettings, Placer, PlacerSettings};
use rand::{Rng, SeedableRng, rngs::StdRng};

const ENTRIES: usize = 3;
const SPEEDS: [f64; 11] = [1.2, 0.55, 1.2, 1.2, 0.55, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2];
const CORES: [u32; 11] = [64, 64, 96, 64, 64, 96, 64, 64, 96, 64, 64];
const MILLI: Duration = Duration::from_millis(1);
/// An entry learns of an agent's room so often beside the replies.
const REPORT_MS: u64 = 130;
/// How long callers wait for an answer.
const CALLER_WAITS: Duration = Duration::from_secs(3);
/// A late job is given up so long after its objective, as a factor of it.
const LATE: u32 = 3;

/// Work, tasks of a job and jobs a second of each kind.
const KINDS: [(u64, u32, f64); 3] = [(51, 8, 30.0), (760, 4, 5.5), (170, 2, 88.0)];

#[derive(Clone, Debug)]
struct Job {
    kind: usize,
    arrived: Uptime,
    estimate: Duration,
    objective: Objective,
    /// true work of each task, at speed 1
    work: Vec<Duration>,
    open: Vec<u32>,
    left: usize,
    entry: usize,
    ended: Option<Uptime>,
    refused: bool,
}

struct Agent {
    book: Scheduler,
    speed: f64,
    running: BTreeMap<TaskRef, (u32, Uptime, Uptime)>,
    ended: Vec<RunEnd>,
    number: u64,
}

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: u32,
    timely: u32,
    late: u32,
    refused: u32,
}

impl Served {
    fn timely_share(self) -> f64 {
        f64::from(self.timely) / f64::from(self.asked.max(1))
    }

    fn served_share(self) -> f64 {
        f64::from(self.timely + self.late) / f64::from(self.asked.max(1))
    }
}

struct Crest {
    rng: StdRng,
    now: Uptime,
    chain: LeaseTimings,
    agents: Vec<Agent>,
    placers: Vec<Placer>,
    seats: Vec<Vec<AgentView>>,
    jobs: Vec<Job>,
    batches: BTreeMap<(usize, usize, u64), lease::BatchKey>,
    batch: u64,
    late_starts: u32,
    refused_with_room: u32,
}

impl Crest {
    fn new(seed: u64) -> Self {
        let chain = LeaseTimings::new(&LeaseBounds::default()).expect("defaults are sound");
        let now = Duration::from_secs(100);
        let agents = SPEEDS.iter().zip(CORES).map(|(speed, cores)| {
            let health = HealthSettings::default();
            let mut book =
                Scheduler::new(SchedulerSettings { timings: chain, health, max_queued: 1000 });
            let capacity = Resources { cpu: cores * 1000, memory: 100_000, gpu: 0 };
            book.on_announcement(1, capacity, false, now);
            book.on_listing(
                &Listing { requested_at: now, started_ms: 1, ..Listing::default() },
                now,
            );
            let (running, ended) = (BTreeMap::new(), Vec::new());
            Agent { book, speed: *speed, running, ended, number: 0 }
        });
        let mut crest = Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            chain,
            agents: agents.collect(),
            placers: (0..ENTRIES)
                .map(|i| Placer::new(PlacerSettings::default(), seed + i as u64))
                .collect(),
            seats: vec![vec![AgentView::default(); SPEEDS.len()]; ENTRIES],
            jobs: Vec::new(),
            batches: BTreeMap::new(),
            batch: 0,
            late_starts: 0,
            refused_with_room: 0,
        };
        for entry in 0..ENTRIES {
            for agent in 0..SPEEDS.len() {
                crest.report(entry, agent);
            }
        }
        crest
    }

    /// Plays `seconds` of load, `crest` times the usual in the middle third.
    fn play(mut self, seconds: u64, crest: f64) -> (Self, [Served; 3]) {
        let steps = seconds * 1000;
        for step in 0..steps + 4000 {
            self.now += MILLI;
            let middle = (steps / 3..2 * steps / 3).contains(&step);
            if step < steps {
                self.arrivals(if middle { crest } else { 1.0 });
            }
            for i in 0..self.agents.len() {
                self.step_agent(i);
                if step % REPORT_MS == (i as u64 * 11) % REPORT_MS {
                    (0..ENTRIES).for_each(|e| self.report(e, i));
                }
            }
            self.step_jobs();
        }
        let served = self.served();
        (self, served)
    }

    fn served(&self) -> [Served; 3] {
        let mut served = [Served::default(); 3];
        for job in &self.jobs {
            let it = &mut served[job.kind];
            it.asked += 1;
            let took = job.ended.map(|end| end - job.arrived);
            // what callers are owed, by the true work and not by the estimate
            let longest = job.work.iter().max().copied().unwrap_or_default();
            let target = longest.mul_f64(1.6) + Duration::from_millis(60);
            match took {
                Some(took) if took <= target => it.timely += 1,
                Some(took) if took <= target * LATE => it.late += 1,
                _ if job.refused => it.refused += 1,
                _ => {}
            }
        }
        served
    }

    fn arrivals(&mut self, factor: f64) {
        for (kind, (work_ms, width, rate)) in KINDS.into_iter().enumerate() {
            if !self.rng.random_bool((rate * factor / 1000.0).min(1.0)) {
                continue;
            }
            // few are four times as wide, few tasks many times as long
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
                arrived: self.now,
                estimate,
                objective: Objective::new(&ObjectiveSettings::default(), estimate, 1.6, extra),
                open: (0..work.len() as u32).collect(),
                left: work.len(),
                work,
                entry: self.rng.random_range(0..ENTRIES),
                ended: None,
                refused: false,
            });
        }
    }

    fn report(&mut self, entry: usize, agent: usize) {
        let name = "entry".into();
        let id = SessionId(entry as u64 + 1);
        self.agents[agent].book.extend_session(id, &name, self.now, self.now);
        let space = self.agents[agent].book.load(self.now);
        self.seats[entry][agent] =
            AgentView { load: space, distance_factor: 1.0, ..AgentView::default() };
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
            agent.number += 1;
            agent.ended.push(RunEnd { sequence: agent.number, task, run, cause: EndCause::Done });
        }
        agent.book.renew_lease(now);
        if any || now.as_millis() % 100 == i as u128 {
            let running = agent.running.iter().map(|(task, (run, begin, end))| {
                let share = (now - *begin).as_secs_f64() / (*end - *begin).as_secs_f64();
                RunProgress { task: task.clone(), run: *run, percent: (share * 100.0) as u32 }
            });
            let running = running.collect();
            let ended = std::mem::take(&mut agent.ended);
            agent
                .book
                .on_listing(&Listing { requested_at: now, started_ms: 1, running, ended }, now);
        } else {
            agent.book.tick(now);
        }
        for effect in self.agents[i].book.take_effects() {
            if let Effect::Start(order) = effect {
                self.start(i, order.key, &order.task, order.run);
            }
        }
    }

    fn start(&mut self, i: usize, key: RunKey, task: &TaskRef, run: u32) {
        let number: usize = task.job.parse().expect("jobs are numbered");
        let job = &self.jobs[number];
        self.late_starts += u32::from(self.now - job.arrived > CALLER_WAITS);
        let agent = &mut self.agents[i];
        let length = job.work[task.index as usize].div_f64(agent.speed);
        agent.running.insert(task.clone(), (run, self.now, self.now + length));
        assert!(agent.book.lease_for_start(key, self.now).is_some());
        agent.book.on_start_outcome(key, StartOutcome::Accepted, self.now);
    }

    fn step_jobs(&mut self) {
        let keys: Vec<_> = self.batches.iter().map(|(k, v)| (*k, *v)).collect();
        for ((number, agent, batch), key) in keys {
            let Some(progress) = self.agents[agent].book.progress(key, 0, self.now) else {
                continue;
            };
            if progress.pending > 0 {
                continue;
            }
            self.batches.remove(&(number, agent, batch));
            let job = &mut self.jobs[number];
            for settled in progress.results {
                match settled.ending {
                    Ending::Done => job.left -= 1,
                    _ => job.open.push(settled.index),
                }
            }
            if job.left == 0 {
                job.ended = Some(self.now);
            }
            let entry = job.entry;
            self.report(entry, agent);
        }
        let open: Vec<usize> = (0..self.jobs.len())
            .filter(|n| {
                let job = &self.jobs[*n];
                let waits = self.now - job.arrived < CALLER_WAITS;
                waits && !job.open.is_empty() && !job.refused
            })
            .collect();
        let (untouched, started): (Vec<usize>, Vec<usize>) =
            open.into_iter().partition(|n| self.is_untouched(*n));
        for number in untouched.iter().chain(&started) {
            self.place(*number, Goal::InTime);
        }
        // then the backlog: what has started goes first
        for number in started.iter().chain(&untouched) {
            self.place(*number, Goal::AnyRoom);
        }
    }

    fn is_untouched(&self, number: usize) -> bool {
        let job = &self.jobs[number];
        job.open.len() == job.work.len()
    }

    fn place(&mut self, number: usize, aim: Goal) {
        let now = self.now;
        let job = &self.jobs[number];
        let age = now - job.arrived;
        if job.open.is_empty() || job.refused {
            return;
        }
        let ask = Demand {
            resources: Resources { cpu: 6200, memory: 64, gpu: 0 },
            count: job.open.len(),
            estimate: job.estimate,
            objective: job.objective,
            age,
        };
        let entry = job.entry;
        let spread = self.placers[entry].plan(&self.seats[entry], &ask, aim);
        if aim == Goal::InTime && spread.unplaced > 0 {
            return;
        }
        if spread.assignments.is_empty()
            && age + job.estimate > job.objective.cutoff
            && self.is_untouched(number)
        {
            let room = self.seats[entry].iter().any(|s| {
                s.load.ready
                    && ask.resources.fits(s.load.free.minus(s.unreported))
                    && s.load.expected_wait.is_zero()
            });
            self.refused_with_room += u32::from(room);
            self.jobs[number].refused = true;
            return;
        }
        for part in spread.assignments {
            let job = &mut self.jobs[number];
            let tasks: Vec<u32> = job.open.drain(..part.tasks).collect();
            self.batch += 1;
            let batch = Batch {
                number: self.batch,
                job: number.to_string().as_str().into(),
                spec: "".into(),
                resources: ask.resources,
                estimate: job.estimate,
                max_wait: part.max_wait,
                time_left: CALLER_WAITS - age,
                tasks: tasks.iter().map(|i| Placement { index: *i, run: 1 }).collect(),
            };
            let id = SessionId(entry as u64 + 1);
            let agent = &mut self.agents[part.agent];
            agent.book.extend_session(id, &"entry".into(), now, now);
            let key = agent.book.place(id, batch, now);
            self.batches.insert((number, part.agent, self.batch), key);
            let seat = &mut self.seats[entry][part.agent];
            seat.unreported = seat.unreported.plus(ask.resources.times(part.tasks as u32));
        }
    }

    /// Share of the widest tenth of a kind that was served, beside the whole kind.
    fn widest(&self, kind: usize) -> (f64, f64) {
        let of_kind: Vec<&Job> = self.jobs.iter().filter(|j| j.kind == kind).collect();
        let (_, width, _) = KINDS[kind];
        let share = |jobs: Vec<&&Job>| {
            let ended = jobs.iter().filter(|j| j.ended.is_some()).count();
            ended as f64 / jobs.len().max(1) as f64
        };
        let wide = of_kind.iter().filter(|j| j.work.len() > width as usize).collect();
        (share(wide), share(of_kind.iter().collect()))
    }
}

#[test]
fn below_what_they_can_do_nearly_all_are_served_in_time() {
    let (crest, served) = Crest::new(1).play(9, 1.0);
    for (kind, it) in served.iter().enumerate() {
        assert!(it.timely_share() > 0.9, "kind {kind}: {it:?}");
    }
    assert_eq!(served.map(|s| s.refused), [0; 3]);
    assert!(crest.chain.session_ttl > Duration::ZERO);
}

#[test]
fn at_a_crest_no_kind_and_no_size_of_job_is_starved() {
    let (crest, served) = Crest::new(2).play(9, 2.2);
    for (kind, it) in served.iter().enumerate() {
        assert!(it.served_share() > 0.5, "kind {kind}: {it:?}");
        let (wide, all) = crest.widest(kind);
        assert!(wide > all / 2.0, "kind {kind}: {wide} of the widest, {all} of all");
    }
}

#[test]
fn nothing_starts_once_its_caller_has_left() {
    let (crest, _) = Crest::new(3).play(9, 2.2);
    assert_eq!(crest.late_starts, 0);
}

#[test]
fn nothing_untouched_is_refused_while_there_is_room() {
    let (crest, _) = Crest::new(4).play(9, 2.2);
    assert_eq!(crest.refused_with_room, 0);
}

#[test]
fn after_a_crest_service_is_as_before() {
    let (crest, _) = Crest::new(5).play(9, 2.2);
    // the last second of load came 2 s after the crest
    let end = crest.jobs.last().map(|j| j.arrived).unwrap_or_default();
    let last: Vec<&Job> =
        crest.jobs.iter().filter(|j| j.arrived + Duration::from_secs(1) > end).collect();
    let timely = last.iter().filter(|j| {
        let longest = j.work.iter().max().copied().unwrap_or_default();
        let target = longest.mul_f64(1.6) + Duration::from_millis(60);
        j.ended.is_some_and(|e| e - j.arrived <= target)
    });
    let share = timely.count() as f64 / last.len() as f64;
    assert!(share > 0.9, "{share}");
}
