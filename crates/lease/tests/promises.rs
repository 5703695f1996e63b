//! Simulates an entry that answers its callers, with agents and backend servers:
//! a job answered as not run must have no run, before the answer or after,
//! whatever is suspended, cut off, delayed or lost. Further tests each leave out
//! one rule and must then find a schedule in which such a job has run.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use base::{Name, Uptime};
use lease::{
    Batch, BatchLookup, BatchTask, Class, Effect, EndCause, Ending, HealthSettings, LeaseBounds,
    LeaseTimings, Listing, Progress, RefusalReason, Resources, RunEnd, RunProgress, Scheduler,
    SchedulerSettings, SessionId, StartOrder, StartOutcome, StopOrder, TaskRef,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

const AGENTS: usize = 2;
const SESSION: SessionId = SessionId(1);
const STEP: Duration = Duration::from_millis(10);
const STEPS: u64 = 12_000;
const LISTING_INTERVAL: Duration = Duration::from_millis(100);
const ESTIMATE: Duration = Duration::from_millis(300);
/// Longest faults, in milliseconds; the last exceed the time for which a batch is
/// kept for the most patient caller.
const LONGEST_FAULTS_MS: [u64; 6] = [1000, 1000, 1000, 12_000, 12_000, 80_000];
/// Time after which a batch that couldn't arrive is lost with its link.
const LINK_TIMEOUT: Duration = Duration::from_millis(500);
/// Most jobs in progress.
const MAX_JOBS: usize = 4;
/// Offset of the number under which a late message escapes its bar.
const UNBARRED: u64 = 1 << 32;
/// Schedules tried for each rule that is left out.
const MUTANT_SEEDS: u64 = 2000;

/// A rule that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// a batch that the agent doesn't know counts as not run
    LookUp,
    /// a batch that the agent has forgotten counts as not run
    Forgotten,
    /// a batch that was never received may still arrive
    Bar,
    /// the agent is told when the entry asks, not when it sent the batch
    SendTime,
    /// what an agent reports as started is not kept
    Started,
    /// tasks of an agent that is out of reach count as not run
    Lost,
    /// jobs are refused while a batch is placed
    Placed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Completed,
    NotRun,
    Unknown,
}

#[derive(Default)]
struct Backend {
    /// number and end of each run
    runs: BTreeMap<TaskRef, (u32, Uptime)>,
    /// highest run number that ended or was voided
    ended_runs: HashMap<TaskRef, u32>,
    ends: Vec<RunEnd>,
    lease_end: Uptime,
    /// arrival, order and end of its lease
    delayed: Vec<(Uptime, StartOrder, Uptime)>,
    /// runs started in this step
    started: Vec<TaskRef>,
}

impl Backend {
    fn start(
        &mut self,
        order: &StartOrder,
        lease_end: Uptime,
        length: Duration,
        now: Uptime,
    ) -> StartOutcome {
        if now > lease_end {
            return StartOutcome::Rejected(RefusalReason::Late);
        }
        self.lease_end = self.lease_end.max(lease_end);
        if self.ended_runs.get(&order.task).is_some_and(|run| *run >= order.run) {
            return StartOutcome::Rejected(RefusalReason::Old);
        }
        match self.runs.get(&order.task) {
            Some((run, _)) if *run == order.run => StartOutcome::Accepted,
            Some(_) => StartOutcome::Rejected(RefusalReason::Old),
            None => {
                self.runs.insert(order.task.clone(), (order.run, now + length));
                self.started.push(order.task.clone());
                StartOutcome::Accepted
            }
        }
    }

    fn stop(&mut self, order: &StopOrder) {
        if self.runs.get(&order.task).is_some_and(|(run, _)| *run <= order.run) {
            self.end(&order.task, EndCause::Stopped);
        }
        let ended_run = self.ended_runs.entry(order.task.clone()).or_default();
        *ended_run = (*ended_run).max(order.run);
    }

    fn end(&mut self, task: &TaskRef, cause: EndCause) {
        let Some((run, _)) = self.runs.remove(task) else { return };
        let ended_run = self.ended_runs.entry(task.clone()).or_default();
        *ended_run = (*ended_run).max(run);
        let sequence = self.ends.last().map_or(1, |e| e.sequence + 1);
        self.ends.push(RunEnd { sequence, task: task.clone(), run, cause });
    }

    fn step(&mut self, now: Uptime) {
        let (due, delayed): (Vec<_>, Vec<_>) =
            self.delayed.drain(..).partition(|(arrives_at, ..)| *arrives_at <= now);
        self.delayed = delayed;
        for (_, order, lease_end) in due {
            self.start(&order, lease_end, ESTIMATE, now);
        }
        let is_expired = now > self.lease_end;
        for (task, (_, end)) in self.runs.clone() {
            if is_expired {
                self.end(&task, EndCause::Expired);
            } else if end <= now {
                self.end(&task, EndCause::Done);
            }
        }
    }

    fn listing(&self, requested_at: Uptime) -> Listing {
        // progress with each listing, so that no run counts as stalled
        let percent = (requested_at.as_millis() / 100 % 100) as u32;
        let running = self.runs.iter();
        Listing {
            requested_at,
            started_ms: 1,
            running: running
                .map(|(task, (run, _))| RunProgress { task: task.clone(), run: *run, percent })
                .collect(),
            ended: self.ends.clone(),
        }
    }
}

struct Agent {
    scheduler: Scheduler,
    backend: Backend,
    frozen_until: Uptime,
    last_listing: Uptime,
    cut_until: Uptime,
    last_sent: Uptime,
    /// batches under way to it: arrival, number known to the entry, proof that
    /// the entry is alive
    messages: Vec<(Uptime, Batch, Uptime)>,
    /// as the entry knows them
    last_heartbeat: Uptime,
    last_contact: Uptime,
    /// how long the newest heartbeat was under way
    lag: Duration,
}

/// A batch with pending tasks, at the entry.
struct Placed {
    agent: usize,
    number: u64,
    sent_at: Uptime,
    /// of the caller when it was sent
    time_left: Duration,
    link: LinkState,
    seen: usize,
    pending: Vec<(u32, u32)>,
}

/// What the entry does about a batch.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkState {
    /// waits for the reply to the call that placed it
    Placing,
    /// lost the link or the heartbeats
    CutOff(Uptime),
    /// asks by number
    Following,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Task {
    Unplaced(u32),
    Placed,
    Done,
}

struct Job {
    name: Name,
    cutoff: Uptime,
    deadline: Uptime,
    tasks: Vec<Task>,
    placed: Vec<Placed>,
    /// whether any task has started, or may have
    started: bool,
}

impl Job {
    fn is_untouched(&self, without: Without) -> bool {
        !self.started && (self.placed.is_empty() || without == Without::Placed)
    }
}

struct World {
    rng: StdRng,
    without: Without,
    timings: LeaseTimings,
    now: Uptime,
    agents: Vec<Agent>,
    suspended_until: Uptime,
    jobs: Vec<Job>,
    last_job: u64,
    last_batch: u64,
    answers: Vec<(Name, Answer)>,
    /// number of runs by job
    runs: HashMap<Name, u32>,
    /// time and event, if wanted
    trace: Option<Vec<(Uptime, String)>>,
}

impl World {
    fn new(seed: u64, without: Without) -> Self {
        let timings = LeaseTimings::new(&LeaseBounds::default()).expect("defaults are valid");
        let now = Duration::from_secs(100);
        let agents = (0..AGENTS).map(|_| {
            let health = HealthSettings { failure_threshold: 1000, ..HealthSettings::default() };
            let settings = SchedulerSettings { timings, health, max_queued: 100 };
            let mut scheduler = Scheduler::new(settings);
            let capacity = Resources { cpu: 1000, ..Resources::default() };
            scheduler.on_announcement(1, capacity, false, now);
            Agent {
                scheduler,
                backend: Backend::default(),
                frozen_until: now,
                last_listing: now,
                cut_until: now,
                last_sent: now,
                messages: Vec::new(),
                last_heartbeat: now,
                last_contact: now,
                lag: Duration::ZERO,
            }
        });
        Self {
            rng: StdRng::seed_from_u64(seed),
            without,
            timings,
            now,
            agents: agents.collect(),
            suspended_until: now,
            jobs: Vec::new(),
            last_job: 0,
            last_batch: 0,
            answers: Vec::new(),
            runs: HashMap::new(),
            trace: None,
        }
    }

    /// Runs the schedule; gives a job that was answered as not run, but has run.
    fn find_broken(&mut self) -> Option<Name> {
        for _ in 0..STEPS {
            self.now += STEP;
            self.inject_fault();
            for i in 0..AGENTS {
                self.agents[i].backend.step(self.now);
                self.step_agent(i);
                self.record_starts(i);
            }
            if self.suspended_until <= self.now {
                self.step_entry();
            }
        }
        let broken = |(job, answer): &&(Name, Answer)| {
            *answer == Answer::NotRun && self.runs.contains_key(job)
        };
        self.answers.iter().find(broken).map(|(job, _)| job.clone())
    }

    fn note(&mut self, text: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push((now, text()));
        }
    }

    fn inject_fault(&mut self) {
        let agent = self.rng.random_range(0..AGENTS);
        let longest = *LONGEST_FAULTS_MS.choose(&mut self.rng).expect("not empty");
        let span = Duration::from_millis(self.rng.random_range(50..longest));
        match self.rng.random_range(0..2000) {
            0..4 if self.suspended_until <= self.now => {
                self.suspended_until = self.now + span;
                self.note(|| format!("entry is suspended for {span:?}"));
            }
            4..7 => {
                self.agents[agent].cut_until = self.now + span;
                self.note(|| format!("agent {agent} is cut off for {span:?}"));
            }
            7 | 8 => {
                self.agents[agent].frozen_until = self.now + span / 3;
                self.note(|| format!("agent {agent} is suspended for {:?}", span / 3));
            }
            9..14 => self.reset_link(agent),
            _ => {}
        }
    }

    /// The calls about batches on an agent end without a reply.
    fn reset_link(&mut self, agent: usize) {
        let now = self.now;
        for batch in self.jobs.iter_mut().flat_map(|j| &mut j.placed) {
            if batch.agent == agent {
                batch.link = LinkState::CutOff(now);
            }
        }
        self.note(|| format!("link to agent {agent} is replaced"));
    }

    fn record_starts(&mut self, i: usize) {
        for task in std::mem::take(&mut self.agents[i].backend.started) {
            self.note(|| format!("{task} starts on agent {i}"));
            *self.runs.entry(task.job).or_default() += 1;
        }
    }

    fn step_agent(&mut self, i: usize) {
        let now = self.now;
        if self.agents[i].frozen_until > now {
            return;
        }
        self.deliver(i);
        self.exchange_heartbeats(i);
        let is_listed = self.rng.random_bool(0.9);
        let agent = &mut self.agents[i];
        agent.scheduler.tick(now);
        if agent.last_listing + LISTING_INTERVAL <= now {
            agent.last_listing = now;
            if let Some(lease_end) = agent.scheduler.renew_lease(now) {
                agent.backend.lease_end = agent.backend.lease_end.max(lease_end);
            }
            if is_listed {
                agent.scheduler.on_listing(&agent.backend.listing(now), now);
            } else {
                agent.scheduler.on_listing_failed(now);
            }
        }
        for effect in self.agents[i].scheduler.take_effects() {
            self.execute(i, effect);
        }
    }

    fn deliver(&mut self, i: usize) {
        let (now, without) = (self.now, self.without);
        if self.agents[i].cut_until > now {
            return;
        }
        let mut messages = std::mem::take(&mut self.agents[i].messages);
        messages.retain(|(arrives_at, ..)| *arrives_at + LINK_TIMEOUT >= now);
        let (due, later): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|(arrives_at, ..)| *arrives_at <= now);
        self.agents[i].messages = later;
        for (_, mut batch, alive_at) in due {
            let number = batch.number;
            if without == Without::Bar && !self.is_placing(number) {
                batch.number += UNBARRED;
            }
            self.note(|| format!("{} reaches agent {i} as batch {number}", batch.job));
            let scheduler = &mut self.agents[i].scheduler;
            scheduler.extend_session(SESSION, &"entry".into(), alive_at, now);
            scheduler.place(SESSION, batch, now);
        }
    }

    /// Whether the call that placed a batch still waits for its reply.
    fn is_placing(&self, number: u64) -> bool {
        let mut placed = self.jobs.iter().flat_map(|j| &j.placed);
        placed.any(|b| b.number == number && b.link == LinkState::Placing)
    }

    fn exchange_heartbeats(&mut self, i: usize) {
        let (now, interval) = (self.now, self.timings.heartbeat_interval());
        let is_cut = self.agents[i].cut_until > now || self.suspended_until > now;
        if is_cut || self.agents[i].last_sent + interval > now {
            return;
        }
        // an entry that has just resumed may see its timers first
        if self.suspended_until + STEP > now && self.rng.random_bool(0.5) {
            return;
        }
        let lag = Duration::from_millis(self.rng.random_range(0..100));
        let agent = &mut self.agents[i];
        agent.last_sent = now;
        (agent.last_heartbeat, agent.last_contact, agent.lag) = (now, now, lag);
        agent.scheduler.extend_session(SESSION, &"entry".into(), now.saturating_sub(lag), now);
    }

    fn execute(&mut self, i: usize, effect: Effect) {
        let now = self.now;
        let fault = self.rng.random_range(0..24);
        let delay = Duration::from_millis(self.rng.random_range(50..4000));
        let length = Duration::from_millis(self.rng.random_range(50..3000));
        let Agent { scheduler, backend, .. } = &mut self.agents[i];
        match effect {
            Effect::Start(order) => {
                let Some(lease_end) = scheduler.lease_for_start(order.key, now) else {
                    let outcome = StartOutcome::Rejected(RefusalReason::Late);
                    return scheduler.on_start_outcome(order.key, outcome, now);
                };
                let outcome = match fault {
                    // carried out late, if at all
                    0 => {
                        backend.delayed.push((now + delay, order.clone(), lease_end));
                        StartOutcome::Indeterminate
                    }
                    // carried out, but the answer is lost
                    1 | 2 => {
                        backend.start(&order, lease_end, length, now);
                        StartOutcome::Indeterminate
                    }
                    3 => StartOutcome::Rejected(RefusalReason::Room),
                    4 => StartOutcome::Rejected(RefusalReason::Busy),
                    _ => backend.start(&order, lease_end, length, now),
                };
                scheduler.on_start_outcome(order.key, outcome, now);
            }
            Effect::Stop(order) => {
                if fault > 2 {
                    backend.stop(&order);
                    scheduler.on_stop_confirmed(&order, now);
                }
            }
            Effect::RefreshListing => scheduler.on_listing(&backend.listing(now), now),
            Effect::RaiseFence | Effect::Reply(_) => {}
        }
    }

    fn step_entry(&mut self) {
        if self.jobs.len() < MAX_JOBS && self.rng.random_bool(0.03) {
            self.accept_job();
        }
        for mut job in std::mem::take(&mut self.jobs) {
            match self.step_job(&mut job) {
                None => self.jobs.push(job),
                Some(answer) => {
                    self.note(|| format!("{} is answered {answer:?}", job.name));
                    self.answers.push((job.name, answer));
                }
            }
        }
    }

    fn accept_job(&mut self) {
        self.last_job += 1;
        let cutoff = Duration::from_millis(self.rng.random_range(400..4000));
        let longest = if self.rng.random_bool(0.8) { 15_000 } else { 150_000 };
        let time_left = Duration::from_millis(self.rng.random_range(1000..longest));
        let tasks = self.rng.random_range(1..=2);
        let name: Name = format!("job-{}", self.last_job).as_str().into();
        self.note(|| format!("{name} arrives: {tasks} tasks, {time_left:?}, useful {cutoff:?}"));
        self.jobs.push(Job {
            name,
            cutoff: self.now + cutoff,
            deadline: self.now + time_left,
            tasks: vec![Task::Unplaced(1); tasks],
            placed: Vec::new(),
            started: false,
        });
    }

    /// Works on a job as the dispatcher does, up to its answer.
    fn step_job(&mut self, job: &mut Job) -> Option<Answer> {
        for mut batch in std::mem::take(&mut job.placed) {
            if let Some(progress) = self.update(&mut batch) {
                self.record(job, &mut batch, &progress);
            }
            if !batch.pending.is_empty() {
                job.placed.push(batch);
            }
        }
        if job.tasks.iter().all(|t| *t == Task::Done) {
            return Some(Answer::Completed);
        }
        let is_untouched = job.is_untouched(self.without);
        if job.deadline <= self.now {
            return Some(if is_untouched { Answer::NotRun } else { Answer::Unknown });
        }
        if is_untouched && job.cutoff <= self.now + ESTIMATE {
            return Some(Answer::NotRun);
        }
        self.place(job);
        None
    }

    /// What the entry learns about a batch in this step.
    fn update(&mut self, batch: &mut Placed) -> Option<Progress> {
        let now = self.now;
        let agent = &self.agents[batch.agent];
        let silence = now.saturating_sub(agent.last_heartbeat);
        match batch.link {
            LinkState::CutOff(since) if silence < now.saturating_sub(since) => {
                batch.link = LinkState::Following;
                None
            }
            LinkState::CutOff(_) if agent.last_contact + self.timings.run_expiry < now => {
                Some(self.end_all(batch, Ending::Lost))
            }
            LinkState::CutOff(_) => None,
            _ if silence >= self.timings.session_ttl => {
                batch.link = LinkState::CutOff(now);
                None
            }
            LinkState::Placing | LinkState::Following => self.ask(batch),
        }
    }

    fn ask(&mut self, batch: &mut Placed) -> Option<Progress> {
        let (i, now) = (batch.agent, self.now);
        let is_reachable = self.agents[i].cut_until <= now && self.agents[i].frozen_until <= now;
        if !is_reachable {
            return None;
        }
        let key = match batch.link {
            // the reply waits until the batch has arrived
            LinkState::Placing => self.agents[i].scheduler.find(SESSION, batch.number)?,
            _ => match self.look_up(batch) {
                BatchLookup::Known(key) => key,
                BatchLookup::Forgotten if self.without != Without::Forgotten => {
                    return Some(self.end_all(batch, Ending::Lost));
                }
                _ => return Some(self.end_all(batch, Ending::NotRun)),
            },
        };
        let progress = self.agents[i].scheduler.progress(key, batch.seen, now)?;
        // the reply may be lost with its link
        if self.rng.random_bool(0.05) {
            batch.link = LinkState::CutOff(now);
            return None;
        }
        Some(progress)
    }

    fn look_up(&mut self, batch: &Placed) -> BatchLookup {
        let (number, now) = (batch.number, self.now);
        let agent = &mut self.agents[batch.agent];
        agent.last_contact = now;
        let sent_at = match self.without {
            Without::SendTime => now,
            _ => batch.sent_at,
        };
        if self.without == Without::LookUp {
            let key = agent.scheduler.find(SESSION, number);
            return key.map_or(BatchLookup::NeverReceived, BatchLookup::Known);
        }
        agent.scheduler.look_up(SESSION, number, sent_at, batch.time_left, now)
    }

    /// Progress in which all pending tasks of a batch end in the same way.
    fn end_all(&mut self, batch: &Placed, ending: Ending) -> Progress {
        let (number, agent) = (batch.number, batch.agent);
        self.note(|| format!("batch {number} on agent {agent} is taken as {ending:?}"));
        let results = batch.pending.iter().map(|(index, run)| lease::TaskResult {
            index: *index,
            run: *run,
            ending,
            reason: "".into(),
            run_time: Duration::ZERO,
            crash: None,
        });
        let started = ending == Ending::Lost && self.without != Without::Lost;
        Progress { results: results.collect(), started, ..Progress::default() }
    }

    fn record(&mut self, job: &mut Job, batch: &mut Placed, progress: &Progress) {
        let number = batch.number;
        let is_lost = progress.results.iter().any(|r| r.ending == Ending::Lost);
        job.started |= progress.started && (is_lost || self.without != Without::Started);
        for result in &progress.results {
            self.note(|| format!("{}/{}: {:?} in batch {number}", job.name, result.index, result));
            job.tasks[result.index as usize] = match result.ending {
                Ending::Done => Task::Done,
                _ => Task::Unplaced(result.run + 1),
            };
            batch.pending.retain(|(index, _)| *index != result.index);
        }
        batch.seen += progress.results.len();
    }

    fn place(&mut self, job: &mut Job) {
        let now = self.now;
        let i = self.rng.random_range(0..AGENTS);
        let silence = now.saturating_sub(self.agents[i].last_heartbeat);
        if silence >= self.timings.session_ttl {
            return;
        }
        let unplaced = |(index, task): (u32, &Task)| match task {
            Task::Unplaced(run) => Some(BatchTask { index, run: *run }),
            _ => None,
        };
        let tasks: Vec<BatchTask> = (0..).zip(&job.tasks).filter_map(unplaced).collect();
        if tasks.is_empty() {
            return;
        }
        for task in &tasks {
            job.tasks[task.index as usize] = Task::Placed;
        }
        self.last_batch += 1;
        let number = self.last_batch;
        // most arrive at once, others after a later call, but within the bar of
        // their number: a link that was replaced takes no more calls
        let delay = match self.rng.random_range(0..5) {
            0 => Duration::from_millis(self.rng.random_range(0..3000)),
            _ => Duration::ZERO,
        };
        let name = job.name.clone();
        self.note(|| format!("{name} is sent to agent {i} as batch {number}, {delay:?} under way"));
        let agent = &mut self.agents[i];
        agent.last_contact = now;
        let sent_at = now.saturating_sub(agent.lag);
        let time_left = job.deadline.saturating_sub(now);
        let batch = Batch {
            number,
            job: job.name.clone(),
            queue: "queue".into(),
            spec: "".into(),
            resources: Resources { cpu: 500, ..Resources::default() },
            estimate: ESTIMATE,
            class: Class::default(),
            max_wait: Duration::from_millis(500),
            time_left,
            tasks,
        };
        let pending = batch.tasks.iter().map(|t| (t.index, t.run)).collect();
        agent.messages.push((now + delay, batch, sent_at));
        let link = LinkState::Placing;
        let agent = i;
        job.placed.push(Placed { agent, number, sent_at, time_left, link, seen: 0, pending });
    }
}

/// Events of a schedule that concern a job, with the faults.
fn trace(seed: u64, without: Without, job: &Name) -> String {
    let mut world = World::new(seed, without);
    world.trace = Some(Vec::new());
    world.find_broken();
    let events = world.trace.unwrap_or_default();
    let is_of_job = |text: &str| text.split([' ', '/']).next() == Some(&**job);
    let batches: Vec<String> = events
        .iter()
        .filter(|(_, t)| is_of_job(t) && t.contains(" is sent to "))
        .filter_map(|(_, t)| {
            Some(format!("batch {} ", t.split("as batch ").nth(1)?.split(',').next()?))
        })
        .collect();
    let first = events.iter().find(|(_, t)| is_of_job(t)).map_or(Uptime::ZERO, |(at, _)| *at);
    let last = events.iter().rfind(|(_, t)| is_of_job(t)).map_or(Uptime::ZERO, |(at, _)| *at);
    let margin = Duration::from_secs(1);
    let is_shown = |at: Uptime, text: &str| {
        let is_near = first.saturating_sub(margin) <= at && at <= last + margin;
        let is_fault = ["entry ", "agent ", "link "].iter().any(|start| text.starts_with(start));
        let is_of_batch = batches.iter().any(|b| text.starts_with(b.as_str()));
        is_near && (is_fault || is_of_job(text) || is_of_batch)
    };
    let lines = events.iter().filter(|(at, text)| is_shown(*at, text));
    lines.map(|(at, text)| format!("{:8.2} {text}\n", at.as_secs_f64())).collect()
}

fn assert_holds(seed: u64) {
    if let Some(job) = World::new(seed, Without::Nothing).find_broken() {
        let trace = trace(seed, Without::Nothing, &job);
        panic!("seed {seed}: {job} is answered as not run, but it ran\n{trace}");
    }
}

#[test]
fn a_job_answered_as_not_run_has_no_run() {
    (0..seeds(300)).for_each(assert_holds);
}

macro_rules! needed {
    ($($name:ident: $rule:ident;)*) => {
        $(#[test] fn $name() {
            let is_broken = |seed: &u64| World::new(*seed, Without::$rule).find_broken().is_some();
            let broken = (0..MUTANT_SEEDS).find(is_broken);
            assert!(broken.is_some(), "nothing breaks without {:?}", Without::$rule);
        })*
    };
}

needed! {
    asking_whether_a_batch_was_forgotten_is_needed: LookUp;
    the_answer_that_a_batch_was_forgotten_is_needed: Forgotten;
    the_bar_of_a_batch_under_way_is_needed: Bar;
    the_time_at_which_a_batch_was_sent_is_needed: SendTime;
    the_record_of_started_tasks_is_needed: Started;
    the_doubt_about_a_lost_agent_is_needed: Lost;
    the_wait_for_placed_batches_is_needed: Placed;
}

/// Number of schedules to try, unless set by `EGRET_SEEDS`.
fn seeds(default: u64) -> u64 {
    std::env::var("EGRET_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(default)
}
