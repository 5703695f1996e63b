use std::{cell::Cell, collections::HashMap, rc::Rc, time::Duration};

use base::{Event, Name, Uptime, uptime};
use futures::{FutureExt, StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use lease::{Batch, BatchTask, Crash, Ending, Progress, TaskResult};
use placement::{AgentView, Ahead, Demand, Objective, Plan, Shape, Stage, Turn, Waiter};
use tokio::time::sleep;
use topology::first_by_hash;

use crate::{
    Job, JobAnswer, JobDispatcher, JobKey,
    agent::Agent,
    backlog::Ticket,
    cancel::CancelSignal,
    crash_history::{CrashedTask, Verdict},
    name_claims::NameClaim,
    placed_batch::{BatchUpdate, PlacedBatch},
};

/// Time after the start of an entry in which jobs may wait although no agent is
/// ready yet.
const WARMUP_TIME: Duration = Duration::from_millis(1500);
/// Shortest sleep before a job is looked at again.
const MIN_SLEEP: Duration = Duration::from_millis(5);
/// Pause before a job is offered again to agents that have all returned it.
const OFFER_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the caller's time that is reserved for the transfer of the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// Time that the end of a connection may arrive after the last request on it.
const DISCONNECT_DELAY: Duration = Duration::from_millis(10);

/// One of so many agents runs tasks again that may have crashed their backend server.
const RETRY_DIVISOR: usize = 8;

/// Reasons of answers.
const FAILS: &str = "a task failed as often as it may";
const CRASHES_SERVERS: &str = "a task crashes backend servers";
const MAY_CRASH_SERVERS: &str = "a task may have crashed its backend server";

/// State of one task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    /// waits to be placed; its next run gets this number
    Unplaced(u32),
    Placed,
    Done,
}

/// Calls to agents, each of which waits for the next update of one batch.
type PendingCalls = FuturesUnordered<LocalBoxFuture<'static, (PlacedBatch, BatchUpdate)>>;

/// Execution of one job, from its arrival to its answer. Dropping it stops the
/// batches that are still pending, also when the caller has disconnected.
pub struct JobExecution {
    dispatcher: Rc<JobDispatcher>,
    key: JobKey,
    job: Job,
    objective: Objective,
    arrived_at: Uptime,
    /// when the caller's connection was last known to be open
    seen_at: Option<Uptime>,
    tasks: Vec<Task>,
    /// failed runs of each task
    failures: Vec<u32>,
    /// agents where a task of this job failed, was lost or did not run; they get no
    /// more of its tasks while another agent is ready
    avoided: Vec<Name>,
    /// agents whose backend server crashed with tasks of this job
    crashed: Vec<Name>,
    /// no placement before this
    next_offer: Uptime,
    /// number of tasks sent to each agent
    sent: HashMap<Name, usize>,
    /// batches with pending tasks
    placed: Vec<(Rc<Agent>, u64)>,
    /// batch of the only task that may run while this job is a suspect
    alone: Option<u64>,
    /// held until no run of this job is left
    name_claim: Option<Rc<NameClaim>>,
    /// whether any task has started, or may have
    started: Rc<Cell<bool>>,
    cancel: Rc<CancelSignal>,
    /// set while tasks wait in the backlog
    ticket: Option<Ticket>,
    /// when the tasks that wait joined the backlog
    joined_at: Option<Uptime>,
    answered: bool,
}

impl JobExecution {
    pub fn new(
        dispatcher: Rc<JobDispatcher>,
        job: Job,
        started: Rc<Cell<bool>>,
        cancel: Rc<CancelSignal>,
    ) -> Self {
        let target = Duration::from_millis(job.queue_settings.target_ms);
        let objective = Objective::new(
            dispatcher.objective(),
            job.estimate,
            job.queue_settings.stretch,
            target,
        );
        let count = job.count as usize;
        Self {
            dispatcher,
            key: job.key(),
            objective,
            arrived_at: uptime(),
            seen_at: None,
            tasks: vec![Task::Unplaced(1); count],
            failures: vec![0; count],
            avoided: Vec::new(),
            crashed: Vec::new(),
            next_offer: Uptime::ZERO,
            sent: HashMap::new(),
            placed: Vec::new(),
            alone: None,
            name_claim: None,
            started,
            cancel,
            ticket: None,
            joined_at: None,
            answered: false,
            job,
        }
    }

    /// Runs the job to its answer.
    pub async fn answer(mut self) -> JobAnswer {
        let answer = self.run().await;
        self.answered = true;
        let elapsed = self.age();
        self.record_wait();
        let event = match answer {
            JobAnswer::Refused { .. } => {
                self.dispatcher.metrics().record_refusal(self.job.class);
                Event::JobRefused
            }
            _ => Event::JobAnswered,
        };
        event.note(&[
            ("job", (&*self.job.id).into()),
            ("queue", (&*self.job.queue).into()),
            ("answer", answer.as_str().into()),
            ("why", answer.reason().into()),
            ("took_ms", (elapsed.as_millis() as u64).into()),
            ("objective_ms", (self.objective.target.as_millis() as u64).into()),
        ]);
        self.dispatcher.metrics().record_answer(&self.job.queue, answer.as_str(), elapsed);
        answer
    }

    async fn run(&mut self) -> JobAnswer {
        let verdict = self.dispatcher.crashes().earlier_verdict(&self.key);
        if let Some(answer) = verdict.and_then(final_answer) {
            return answer;
        }
        if let Err(answer) = self.claim_name().await {
            return answer;
        }
        self.dispatcher.agents().note_requirements(&self.job);
        let mut calls = PendingCalls::new();
        loop {
            if let Some(reason) = self.cancel.reason() {
                return self.abandon(reason);
            }
            let Some(time_left) = self.time_left() else {
                return self.abandon("the caller's time is up");
            };
            let useful_time = self.time_until_cutoff().min(time_left);
            if useful_time < self.job.estimate && self.is_untouched() {
                return self.refuse();
            }
            if self.has_no_retry_agent() {
                return self.abandon(MAY_CRASH_SERVERS);
            }
            if self.may_have_lost_caller() {
                self.check_caller().await;
                continue;
            }
            let unplaced = self.place(&mut calls);
            if unplaced == 0 {
                self.ticket = None;
                self.record_wait();
            } else if self.is_untouched() && !self.may_join_backlog(useful_time) {
                return self.refuse();
            } else if calls.is_empty() && time_left < self.job.estimate {
                return self.abandon("the rest can't end in time");
            } else {
                self.join_backlog();
            }
            let limit = if unplaced > 0 {
                useful_time.saturating_sub(self.job.estimate)
            } else {
                time_left
            };
            let pause = self.next_offer.saturating_sub(uptime());
            let limit = if pause.is_zero() { limit } else { limit.min(pause) }.max(MIN_SLEEP);
            let ticket = self.ticket.as_ref();
            let cancel = self.cancel.clone();
            let next = async {
                tokio::select! {
                    Some(next) = calls.next() => Some(next),
                    () = cancel.cancelled() => None,
                    () = wait_turn(ticket) => None,
                    () = sleep(limit) => None,
                }
            };
            let Some((batch, update)) = next.await else { continue };
            if let Some(answer) = self.on_update(batch, update, &mut calls) {
                return answer;
            }
            if self.tasks.iter().all(|t| *t == Task::Done) {
                return JobAnswer::Completed;
            }
        }
    }

    /// Whether tasks are about to be sent whose caller may have disconnected, and sent the
    /// job to another entry.
    fn may_have_lost_caller(&self) -> bool {
        let interval = self.dispatcher.check_interval();
        self.seen_at.is_none_or(|at| uptime().saturating_sub(at) > interval)
            && self.tasks.iter().any(|t| matches!(t, Task::Unplaced(_)))
    }

    /// Lets the server notice that the caller has disconnected, which drops this job.
    async fn check_caller(&mut self) {
        if self.seen_at.is_none() && self.dispatcher.may_jobs_be_late() {
            sleep(DISCONNECT_DELAY).await;
        }
        let now = uptime();
        // the server reads a connection before it polls the handler, and drops the handler of
        // one that has ended after that: such a handler doesn't get to its next turn
        let _ = actix::spawn(async {}).await;
        self.seen_at = Some(now);
    }

    /// Waits while a job with the same id of another queue may have runs on this service:
    /// backend servers know tasks by the id of their job.
    async fn claim_name(&mut self) -> Result<(), JobAnswer> {
        let service = self.job.queue_settings.service.clone();
        loop {
            if let Some(claim) = self.dispatcher.name_claims().claim(&service, &self.job.id) {
                self.name_claim = Some(Rc::new(claim));
                return Ok(());
            }
            if self.cancel.reason().is_some() {
                return Err(self.refuse());
            }
            let useful_time = self.time_until_cutoff().min(self.time_left().unwrap_or_default());
            let Some(limit) = useful_time.checked_sub(self.job.estimate) else {
                return Err(self.refuse());
            };
            tokio::select! {
                () = self.dispatcher.name_claims().released() => {}
                () = self.cancel.cancelled() => {}
                () = sleep(limit.max(MIN_SLEEP)) => {}
            }
        }
    }

    /// Places the unplaced tasks; returns the number still unplaced.
    fn place(&mut self, calls: &mut PendingCalls) -> usize {
        let mut unplaced: Vec<BatchTask> = (0..)
            .zip(&self.tasks)
            .filter_map(|(index, task)| match task {
                Task::Unplaced(run) => Some(BatchTask { index, run: *run }),
                _ => None,
            })
            .collect();
        let is_suspect = self.is_suspect();
        if is_suspect {
            if self.runs_alone() {
                return 0;
            }
            unplaced.truncate(1);
        }
        if unplaced.is_empty() {
            return 0;
        }
        let demand = self.demand(unplaced.len());
        let agents = if is_suspect { self.retry_agents() } else { self.usable_agents() };
        if self.all_returned(&agents) {
            self.avoided.clear();
            self.next_offer = uptime() + OFFER_INTERVAL;
        }
        if uptime() < self.next_offer {
            return demand.count;
        }
        let views = self.agent_views(&agents);
        let Some(plan) = self.plan(&views, &demand) else { return demand.count };
        let time_left = self.time_left().unwrap_or_default();
        for assignment in &plan.assignments {
            let agent = agents[assignment.agent].clone();
            let tasks: Vec<BatchTask> = unplaced.drain(..assignment.tasks).collect();
            let number = self.send(agent, tasks, assignment.max_wait, time_left, calls);
            self.alone = is_suspect.then_some(number);
        }
        Event::JobPlaced.note(&[
            ("job", (&*self.job.id).into()),
            ("queue", (&*self.job.queue).into()),
            ("tasks", (demand.count as u64).into()),
            ("agents", (plan.assignments.len() as u64).into()),
            ("unplaced", (plan.unplaced as u64).into()),
            ("age_ms", (self.age().as_millis() as u64).into()),
            ("estimate_ms", (self.job.estimate.as_millis() as u64).into()),
        ]);
        plan.unplaced
    }

    /// Chooses agents for the tasks; `None` when it is better to wait.
    fn plan(&self, views: &[AgentView], demand: &Demand) -> Option<Plan> {
        // jobs that can end in time are placed without regard to the backlog; a late
        // job that has not started lets the jobs in the backlog go first
        let has_backlog = !self.dispatcher.agents().backlog.is_empty();
        let turn = if !self.is_untouched() {
            Turn::Started
        } else if self.ticket.is_some() || !has_backlog {
            Turn::First
        } else {
            Turn::Behind
        };
        self.dispatcher.placer().place(views, demand, turn)
    }

    /// Adds the job to the backlog, or changes its stage there.
    fn join_backlog(&mut self) {
        let stage = self.stage();
        if self.ticket.as_ref().is_some_and(|t| t.stage() == stage) {
            return;
        }
        let now = uptime();
        let joined_at = *self.joined_at.get_or_insert(now);
        // without classes a job that becomes late counts as new
        let since = if self.job.classes > 1 { joined_at } else { now };
        let waiter = Waiter {
            stage,
            shape: self.shape(),
            classes: self.job.classes,
            arrived_at: self.arrived_at,
            since,
        };
        self.ticket = Some(self.dispatcher.agents().backlog.join(waiter));
    }

    fn record_wait(&mut self) {
        if let Some(since) = self.joined_at.take() {
            let wait = uptime().saturating_sub(since);
            self.dispatcher.metrics().record_wait(self.job.class, wait);
        }
    }

    fn stage(&self) -> Stage {
        if !self.is_untouched() {
            return Stage::Started;
        }
        if self.is_confined() {
            // the many jobs of a confined queue let those of others try first
            return Stage::Late;
        }
        let demand = self.demand(self.tasks.len());
        let may = self.dispatcher.placer().may_end_in_time(&self.load_views(), &demand);
        if may { Stage::Timely } else { Stage::Late }
    }

    fn is_confined(&self) -> bool {
        self.dispatcher.agents().is_confined(&self.job.queue_settings.service, &self.job.queue)
    }

    /// Whether capacity is likely to become free while an answer is of use.
    fn may_join_backlog(&self, time_left: Duration) -> bool {
        if self.ticket.is_some() {
            return true;
        }
        let agents = self.usable_agents();
        let is_new = self.dispatcher.age() < WARMUP_TIME;
        let ahead = self.ahead();
        if is_new && !agents.iter().any(|a| a.load().ready) {
            return ahead.leaves_time(self.job.estimate, time_left);
        }
        let (views, demand) = (self.agent_views(&agents), self.demand(self.tasks.len()));
        self.dispatcher.placer().may_wait(&views, &demand, ahead, time_left)
    }

    fn send(
        &mut self,
        agent: Rc<Agent>,
        tasks: Vec<BatchTask>,
        max_wait: Duration,
        time_left: Duration,
        calls: &mut PendingCalls,
    ) -> u64 {
        for task in &tasks {
            self.tasks[task.index as usize] = Task::Placed;
        }
        agent.count_sent(self.job.class, self.job.resources, tasks.len() as u32);
        *self.sent.entry(agent.name.clone()).or_default() += tasks.len();
        let number = self.dispatcher.next_batch();
        self.placed.push((agent.clone(), number));
        // agents measure their speed and expected waits by it
        let estimate = self.job.estimate.mul_f64(self.distance_factor(&agent));
        let batch = Batch {
            number,
            job: self.job.id.clone(),
            queue: self.job.queue.clone(),
            spec: self.job.spec.clone(),
            resources: self.job.resources,
            estimate,
            class: self.job.class,
            max_wait,
            time_left,
            tasks,
        };
        calls.push(self.follow(PlacedBatch::new(agent, batch), false));
        number
    }

    /// Waits for the next update of a batch, which is sent to its agent first unless
    /// it is `placed`.
    fn follow(
        &self,
        batch: PlacedBatch,
        placed: bool,
    ) -> LocalBoxFuture<'static, (PlacedBatch, BatchUpdate)> {
        let client = self.dispatcher.client();
        async move {
            let update = client.wait_update(&batch, placed).await;
            (batch, update)
        }
        .boxed_local()
    }

    /// Handles an update of a batch; returns the answer if the job has failed.
    fn on_update(
        &mut self,
        mut batch: PlacedBatch,
        update: BatchUpdate,
        calls: &mut PendingCalls,
    ) -> Option<JobAnswer> {
        let progress = match update {
            BatchUpdate::Progress(progress) => progress,
            BatchUpdate::NeverReceived => {
                self.end_all(&batch, Ending::NotRun, "the agent never got it")
            }
            BatchUpdate::Lost(reason) => self.end_all(&batch, Ending::Lost, reason),
        };
        if progress.started || progress.results.iter().any(|r| r.ending != Ending::NotRun) {
            self.started.set(true);
        }
        // without a reported load the capacity is zero
        if progress.load.capacity != lease::Resources::default() {
            batch.agent.set_load(progress.load);
            self.dispatcher.agents().backlog.wake();
        }
        for result in &progress.results {
            if let Some(answer) = self.record_result(result, &batch) {
                return Some(answer);
            }
        }
        batch.record_results(&progress.results);
        if batch.pending.is_empty() {
            self.placed.retain(|(_, number)| *number != batch.batch.number);
        } else {
            calls.push(self.follow(batch, true));
        }
        None
    }

    /// Progress in which all pending tasks of a batch end in the same way.
    fn end_all(&self, batch: &PlacedBatch, ending: Ending, reason: &str) -> Progress {
        let results = batch.pending.iter().map(|(index, run)| TaskResult {
            index: *index,
            run: *run,
            ending,
            reason: reason.into(),
            run_time: Duration::ZERO,
            crash: None,
        });
        Progress { results: results.collect(), ..Progress::default() }
    }

    /// Records the result of a task; returns the answer if the job ends because of it.
    fn record_result(&mut self, result: &TaskResult, batch: &PlacedBatch) -> Option<JobAnswer> {
        let agent = &batch.agent.name;
        let task = self.tasks.get_mut(result.index as usize)?;
        let ending = match result.ending {
            Ending::Done => {
                *task = Task::Done;
                self.dispatcher.metrics().record_ending("done");
                self.dispatcher.crashes().record_success(&self.key);
                return None;
            }
            Ending::Failed => "failed",
            Ending::Lost if result.crash.is_some() => "crashed",
            Ending::Lost => "lost",
            Ending::NotRun => "not-run",
        };
        *task = Task::Unplaced(result.run.saturating_add(1));
        self.dispatcher.metrics().record_ending(ending);
        Event::TaskReturned.note(&[
            ("job", (&*self.job.id).into()),
            ("index", result.index.into()),
            ("run", result.run.into()),
            ("agent", (&**agent).into()),
            ("batch", batch.batch.number.into()),
            ("sent_ms", (uptime().saturating_sub(batch.sent_at).as_millis() as u64).into()),
            ("ending", ending.into()),
            ("why", (&*result.reason).into()),
        ]);
        if !self.avoided.contains(agent) {
            self.avoided.push(agent.clone());
        }
        if result.ending == Ending::Failed {
            let failures = &mut self.failures[result.index as usize];
            *failures += 1;
            let is_last = *failures >= self.job.queue_settings.attempts;
            return is_last.then(|| JobAnswer::Failed { reason: FAILS.into() });
        }
        self.on_crash(result.index, agent, result.crash?)
    }

    /// Records a crash in which a task was active; returns the answer if the task is not
    /// started again.
    fn on_crash(&mut self, index: u32, agent: &Name, crash: Crash) -> Option<JobAnswer> {
        if !self.crashed.contains(agent) {
            self.crashed.push(agent.clone());
        }
        let task = CrashedTask { job: &self.key, index, agent };
        let verdict = self.dispatcher.crashes().record(task, crash, uptime());
        Event::TaskCrashed.note(&[
            ("job", (&*self.job.id).into()),
            ("queue", (&*self.job.queue).into()),
            ("index", index.into()),
            ("suspicion", crash.suspicion.into()),
            ("proven", crash.proven.into()),
            ("verdict", format!("{verdict:?}").as_str().into()),
        ]);
        final_answer(verdict)
    }

    /// Whether every agent that takes work has returned a task of this job.
    fn all_returned(&self, agents: &[Rc<Agent>]) -> bool {
        let is_avoided = |a: &Rc<Agent>| self.avoided.contains(&a.name);
        !self.avoided.is_empty() && agents.iter().all(|a| is_avoided(a) || !a.load().ready)
    }

    /// Whether tasks of this job may have crashed a backend server.
    fn is_suspect(&self) -> bool {
        self.dispatcher.crashes().is_suspect(&self.key)
    }

    /// Whether the only task that may run while this job is a suspect does so.
    fn runs_alone(&self) -> bool {
        self.placed.iter().any(|(_, number)| Some(*number) == self.alone)
    }

    /// Agents that may run a task of a suspect: other than those of its crashes, if there
    /// are any.
    fn retry_agents(&self) -> Vec<Rc<Agent>> {
        let (others, crashed): (Vec<_>, Vec<_>) =
            self.usable_agents().into_iter().partition(|a| !self.crashed.contains(&a.name));
        first_by_hash(if others.is_empty() { crashed } else { others }, RETRY_DIVISOR, |a| &a.name)
    }

    /// Whether this job is a suspect, and only agents that must not run its tasks take work.
    fn has_no_retry_agent(&self) -> bool {
        let is_ready = |agents: Vec<Rc<Agent>>| agents.iter().any(|a| a.load().ready);
        self.is_suspect()
            && !self.runs_alone()
            && !is_ready(self.retry_agents())
            && is_ready(self.usable_agents())
    }

    /// Views of the agents for the placer.
    fn agent_views(&self, agents: &[Rc<Agent>]) -> Vec<AgentView> {
        let views = agents.iter().map(|a| AgentView {
            load: a.load(),
            unreported: a.unreported(),
            excluded: self.avoided.contains(&a.name),
            distance_factor: self.distance_factor(a),
            rack_pressure: self.rack_pressure(a),
            max_tasks: self.max_tasks(a),
        });
        views.collect()
    }

    fn distance_factor(&self, agent: &Agent) -> f64 {
        let is_near = self.job.rack.is_empty() || agent.labels.borrow().contains(&self.job.rack);
        if is_near { 1.0 } else { self.dispatcher.far_factor() }
    }

    /// Pressure of an agent's rack; 0 if this job needs that rack.
    fn rack_pressure(&self, agent: &Agent) -> f64 {
        let racks = self.dispatcher.racks();
        if !racks.any_hot() {
            return 0.0;
        }
        let labels = agent.labels.borrow();
        let is_needed = !self.job.rack.is_empty() && labels.contains(&self.job.rack);
        if is_needed { 0.0 } else { racks.pressure_at(&labels) }
    }

    /// How many more tasks of this job an agent may get; `None` if unlimited.
    fn max_tasks(&self, agent: &Agent) -> Option<usize> {
        let limit = (self.job.max_per_agent > 0).then_some(self.job.max_per_agent as usize)?;
        Some(limit.saturating_sub(self.sent.get(&agent.name).copied().unwrap_or_default()))
    }

    fn demand(&self, count: usize) -> Demand {
        Demand {
            resources: self.job.resources,
            count,
            estimate: self.job.estimate,
            class: self.job.class,
            objective: self.objective,
            age: self.age(),
        }
    }

    /// The jobs that go before this one.
    fn ahead(&self) -> Ahead {
        let wait = self.dispatcher.agents().backlog.wait_ahead(&self.shape(), self.job.classes);
        Ahead { classes: self.job.classes, wait }
    }

    fn shape(&self) -> Shape {
        Shape {
            service: self.job.queue_settings.service.clone(),
            class: self.job.class,
            label: self.job.label.clone(),
            rack: self.job.rack.clone(),
            resources: self.job.resources,
        }
    }

    /// Whether no task has started and no batch is pending.
    fn is_untouched(&self) -> bool {
        !self.started.get() && self.placed.is_empty()
    }

    fn refuse(&self) -> JobAnswer {
        let views = self.load_views();
        let demand = self.demand(self.tasks.len());
        let refusal = self.dispatcher.placer().refuse(&views, &demand, self.ahead());
        let reason = if views.iter().any(|v| v.load.ready) {
            "no room in time"
        } else {
            "no backend server takes work"
        };
        JobAnswer::Refused { reason: reason.into(), retry_after: refusal.retry_after }
    }

    /// Agents that take this job's queue and have its label.
    fn usable_agents(&self) -> Vec<Rc<Agent>> {
        let (service, queue) = (&self.job.queue_settings.service, &self.job.queue);
        let agents = self.dispatcher.agents().of_queue(service, queue);
        if self.job.label.is_empty() {
            return agents;
        }
        let has_label = |a: &Rc<Agent>| a.labels.borrow().contains(&self.job.label);
        let labelled: Vec<_> = agents.into_iter().filter(has_label).collect();
        if !labelled.is_empty() {
            return labelled;
        }
        // a confinement may leave none with the label
        self.dispatcher.agents().of_service(service).into_iter().filter(has_label).collect()
    }

    /// Views of the agents that show only their load, without the rack and limits of
    /// this job.
    fn load_views(&self) -> Vec<AgentView> {
        let agents = self.usable_agents();
        agents.iter().map(|a| AgentView { load: a.load(), ..AgentView::default() }).collect()
    }

    /// Answer to a job that is stopped early: a refusal if nothing was started.
    fn abandon(&self, reason: &str) -> JobAnswer {
        if self.is_untouched() {
            return self.refuse();
        }
        JobAnswer::Abandoned { reason: reason.into() }
    }

    fn age(&self) -> Duration {
        uptime().saturating_sub(self.arrived_at)
    }

    /// Time left until an answer is of no use.
    fn time_until_cutoff(&self) -> Duration {
        self.objective.cutoff.saturating_sub(self.age())
    }

    /// Time left for work; `None` when it is up.
    fn time_left(&self) -> Option<Duration> {
        let end = self.arrived_at + self.job.time_left.saturating_sub(ANSWER_MARGIN);
        let end = self.dispatcher.deadline().map_or(end, |deadline| end.min(deadline));
        end.checked_sub(uptime()).filter(|left| !left.is_zero())
    }
}

impl Drop for JobExecution {
    fn drop(&mut self) {
        self.dispatcher.forget(&self.key, &self.started);
        if !self.answered {
            Event::CallerDisconnected.note(&[
                ("job", (&*self.job.id).into()),
                ("queue", (&*self.job.queue).into()),
                ("age_ms", (self.age().as_millis() as u64).into()),
                ("batches", (self.placed.len() as u64).into()),
            ]);
            self.dispatcher.metrics().record_answer(&self.job.queue, "caller-left", self.age());
        }
        for (agent, number) in self.placed.drain(..) {
            let (client, claim) = (self.dispatcher.client(), self.name_claim.clone());
            actix::spawn(async move {
                client.stop(agent, number).await;
                drop(claim);
            });
        }
    }
}

/// The answer to a job with a task that is not started again.
fn final_answer(verdict: Verdict) -> Option<JobAnswer> {
    match verdict {
        Verdict::Retry | Verdict::RetryAlone => None,
        Verdict::Abandon => Some(JobAnswer::Abandoned { reason: MAY_CRASH_SERVERS.into() }),
        Verdict::Fail => Some(JobAnswer::Failed { reason: CRASHES_SERVERS.into() }),
    }
}

async fn wait_turn(ticket: Option<&Ticket>) {
    match ticket {
        Some(ticket) => ticket.wait_turn().await,
        None => std::future::pending().await,
    }
}
