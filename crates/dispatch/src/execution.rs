use std::{cell::Cell, collections::HashMap, rc::Rc, time::Duration};

use base::{Event, Name, Uptime, uptime};
use futures::{FutureExt, StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use lease::{Batch, Ending, Placement, Progress, TaskResult};
use placement::{AgentView, Demand, Goal, Objective, Plan};
use tokio::time::sleep;

use crate::{
    Job, JobAnswer, JobDispatcher,
    agent::Agent,
    backlog::{Rank, Ticket},
    cancel::CancelSignal,
    placed_batch::{BatchUpdate, PlacedBatch},
};

/// A fresh entry lets jobs wait for its first agents until this age.
const WARM: Duration = Duration::from_millis(1500);
/// Shortest sleep between two looks at a job.
const LEAST_LIMIT: Duration = Duration::from_millis(5);
/// Kept of the caller's time for the answer to travel.
const ANSWER_TIME: Duration = Duration::from_millis(30);
/// Run time over its estimate that a job which waits should have room for.
const RUN_MARGIN: f64 = 2.0;

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    /// waits for a place; its next run gets this number
    Open(u32),
    Placed,
    Done,
}

/// Parts of a job whose news is waited for.
type Waiting = FuturesUnordered<LocalBoxFuture<'static, (PlacedBatch, BatchUpdate)>>;

/// One job on its way from its arrival to its answer. Dropped before that, it
/// stops what runs.
pub struct JobExecution {
    desk: Rc<JobDispatcher>,
    job: Job,
    objective: Objective,
    arrived: Uptime,
    tasks: Vec<Task>,
    /// runs of each task that failed
    failures: Vec<u32>,
    /// agents that didn't serve this job well
    avoided: Vec<Name>,
    /// tasks that were sent to each agent
    sent: HashMap<Name, usize>,
    /// batches not settled yet
    placed: Vec<(Rc<Agent>, u64)>,
    started: Rc<Cell<bool>>,
    cancel: Rc<CancelSignal>,
    /// set while tasks wait for room
    ticket: Option<Ticket>,
    answered: bool,
}

impl JobExecution {
    pub fn new(
        desk: Rc<JobDispatcher>,
        job: Job,
        started: Rc<Cell<bool>>,
        cancel: Rc<CancelSignal>,
    ) -> Self {
        let target = Duration::from_millis(job.rules.target_ms);
        let objective = Objective::new(desk.objective(), job.estimate, job.rules.stretch, target);
        let count = job.count as usize;
        Self {
            desk,
            objective,
            arrived: uptime(),
            tasks: vec![Task::Open(1); count],
            failures: vec![0; count],
            avoided: Vec::new(),
            sent: HashMap::new(),
            placed: Vec::new(),
            started,
            cancel,
            ticket: None,
            answered: false,
            job,
        }
    }

    /// Takes the job to its answer.
    pub async fn answer(mut self) -> JobAnswer {
        let answer = self.run().await;
        self.answered = true;
        let took = self.age();
        let event = match answer {
            JobAnswer::Refused { .. } => Event::JobRefused,
            _ => Event::JobAnswered,
        };
        event.note(&[
            ("job", (&*self.job.id).into()),
            ("queue", (&*self.job.queue).into()),
            ("answer", answer.as_str().into()),
            ("why", answer.why().into()),
            ("took_ms", (took.as_millis() as u64).into()),
            ("objective_ms", (self.objective.target.as_millis() as u64).into()),
        ]);
        self.desk.metrics().record_answer(&self.job.queue, answer.as_str(), took);
        answer
    }

    async fn run(&mut self) -> JobAnswer {
        self.desk.agents().note_requirements(&self.job);
        let mut waiting = Waiting::new();
        loop {
            if let Some(why) = self.cancel.why() {
                return self.give_up(why);
            }
            let Some(left) = self.left() else { return self.give_up("the caller's time is up") };
            let useful = self.useful().min(left);
            if useful < self.job.estimate && self.is_untouched() {
                return self.refuse();
            }
            let unplaced = self.place(&mut waiting);
            if unplaced == 0 {
                self.ticket = None;
            } else if self.is_untouched() && !self.may_wait(useful) {
                return self.refuse();
            } else if waiting.is_empty() && left < self.job.estimate {
                return self.give_up("the rest can't end in time");
            } else {
                self.queue_up();
            }
            let limit = if unplaced > 0 { useful.saturating_sub(self.job.estimate) } else { left };
            let limit = limit.max(LEAST_LIMIT);
            let ticket = self.ticket.as_ref();
            let cancel = self.cancel.clone();
            let next = async {
                tokio::select! {
                    Some(next) = waiting.next() => Some(next),
                    () = cancel.cancelled() => None,
                    () = turn(ticket) => None,
                    () = sleep(limit) => None,
                }
            };
            let Some((part, news)) = next.await else { continue };
            if let Some(answer) = self.take(part, news, &mut waiting) {
                return answer;
            }
            if self.tasks.iter().all(|t| *t == Task::Done) {
                return JobAnswer::Completed;
            }
        }
    }

    /// Finds places for the tasks that have none; gives how many are left.
    fn place(&mut self, waiting: &mut Waiting) -> usize {
        let mut open: Vec<Placement> = (0..)
            .zip(&self.tasks)
            .filter_map(|(index, task)| match task {
                Task::Open(run) => Some(Placement { index, run: *run }),
                _ => None,
            })
            .collect();
        if open.is_empty() {
            return 0;
        }
        let (agents, seats) = self.seats();
        let ask = self.ask(open.len());
        let Some(spread) = self.spread(&seats, &ask) else { return ask.count };
        let left = self.left().unwrap_or_default();
        for part in &spread.assignments {
            let agent = agents[part.agent].clone();
            let tasks: Vec<Placement> = open.drain(..part.tasks).collect();
            self.send(agent, tasks, part.max_wait, left, waiting);
        }
        Event::JobPlaced.note(&[
            ("job", (&*self.job.id).into()),
            ("queue", (&*self.job.queue).into()),
            ("tasks", (ask.count as u64).into()),
            ("agents", (spread.assignments.len() as u64).into()),
            ("unplaced", (spread.unplaced as u64).into()),
            ("age_ms", (self.age().as_millis() as u64).into()),
            ("estimate_ms", (self.job.estimate.as_millis() as u64).into()),
        ]);
        spread.unplaced
    }

    /// Places for the tasks; `None` when it is better to wait.
    fn spread(&self, seats: &[AgentView], ask: &Demand) -> Option<Plan> {
        let mut placer = self.desk.placer();
        let spread = placer.plan(seats, ask, Goal::InTime);
        // a job is worth little in part
        if spread.unplaced == 0 {
            return Some(spread);
        }
        // what could still end in time doesn't wait behind what can't
        let waits = !self.desk.agents().backlog.is_empty();
        let is_first = self.ticket.is_some() || !self.is_untouched() || !waits;
        let spread = is_first.then(|| placer.plan(seats, ask, Goal::Immediate))?;
        (!spread.assignments.is_empty()).then_some(spread)
    }

    /// Waits for room beside the others that can't end in time.
    fn queue_up(&mut self) {
        let rank = if self.is_untouched() { Rank::Untouched } else { Rank::Started };
        if self.ticket.as_ref().is_some_and(|t| t.rank() == rank) {
            return;
        }
        self.ticket = Some(self.desk.agents().backlog.join(rank));
    }

    /// Whether there is a fair chance of room while an answer is of use.
    fn may_wait(&self, left: Duration) -> bool {
        if self.ticket.is_some() {
            return true;
        }
        let young = self.desk.age() < WARM;
        let served = self.plain_seats().iter().any(|s| s.load.ready);
        let longest = self.desk.agents().backlog.longest_wait();
        (served || young) && longest + self.job.estimate.mul_f64(RUN_MARGIN) < left
    }

    fn send(
        &mut self,
        agent: Rc<Agent>,
        tasks: Vec<Placement>,
        wait: Duration,
        left: Duration,
        waiting: &mut Waiting,
    ) {
        for task in &tasks {
            self.tasks[task.index as usize] = Task::Placed;
        }
        agent.count_sent(self.job.resources, tasks.len() as u32);
        *self.sent.entry(agent.name.clone()).or_default() += tasks.len();
        let number = self.desk.next_batch();
        self.placed.push((agent.clone(), number));
        let batch = Batch {
            number,
            job: self.job.id.clone(),
            spec: self.job.spec.clone(),
            resources: self.job.resources,
            estimate: self.job.estimate,
            max_wait: wait,
            time_left: left,
            tasks,
        };
        waiting.push(self.wait_for(PlacedBatch::new(agent, batch), false));
    }

    fn wait_for(
        &self,
        part: PlacedBatch,
        placed: bool,
    ) -> LocalBoxFuture<'static, (PlacedBatch, BatchUpdate)> {
        let caller = self.desk.client();
        async move {
            let news = caller.news(&part, placed).await;
            (part, news)
        }
        .boxed_local()
    }

    /// Takes news of a part; gives the answer if they decide the job.
    fn take(
        &mut self,
        mut part: PlacedBatch,
        news: BatchUpdate,
        waiting: &mut Waiting,
    ) -> Option<JobAnswer> {
        let progress = match news {
            BatchUpdate::Progress(progress) => progress,
            BatchUpdate::Unknown => self.all_of(&part, Ending::NotRun, "the agent never got it"),
            BatchUpdate::Lost => {
                self.started.set(true);
                self.all_of(&part, Ending::Lost, "agent out of reach")
            }
        };
        if progress.started {
            self.started.set(true);
        }
        if progress.load.capacity != lease::Resources::default() {
            part.agent.set_load(progress.load);
            self.desk.agents().backlog.wake_first();
        }
        for settled in &progress.results {
            if self.settle(settled, &part.agent.name) {
                return Some(JobAnswer::Failed);
            }
        }
        part.settle(&progress.results);
        if part.open.is_empty() {
            self.placed.retain(|(_, number)| *number != part.batch.number);
        } else {
            waiting.push(self.wait_for(part, true));
        }
        None
    }

    fn all_of(&self, part: &PlacedBatch, ending: Ending, why: &str) -> Progress {
        let settled = part.open.iter().map(|(index, run)| TaskResult {
            index: *index,
            run: *run,
            ending,
            reason: why.into(),
            ran: Duration::ZERO,
        });
        Progress { results: settled.collect(), ..Progress::default() }
    }

    /// Notes the end of a task; true when the job has failed by it.
    fn settle(&mut self, it: &TaskResult, agent: &Name) -> bool {
        let Some(task) = self.tasks.get_mut(it.index as usize) else { return false };
        let ending = match it.ending {
            Ending::Done => {
                *task = Task::Done;
                self.desk.metrics().record_ending("done");
                return false;
            }
            Ending::Failed => "failed",
            Ending::Lost => "lost",
            Ending::NotRun => "not-run",
        };
        *task = Task::Open(it.run.saturating_add(1));
        self.desk.metrics().record_ending(ending);
        Event::TaskReturned.note(&[
            ("job", (&*self.job.id).into()),
            ("index", it.index.into()),
            ("run", it.run.into()),
            ("agent", (&**agent).into()),
            ("ending", ending.into()),
            ("why", (&*it.reason).into()),
        ]);
        if !self.avoided.contains(agent) {
            self.avoided.push(agent.clone());
        }
        if it.ending == Ending::Failed {
            let failures = &mut self.failures[it.index as usize];
            *failures += 1;
            return *failures >= self.job.rules.attempts;
        }
        false
    }

    /// Agents that may run this job, as the placer sees them.
    fn seats(&mut self) -> (Vec<Rc<Agent>>, Vec<AgentView>) {
        let mut agents = self.desk.agents().of_service(&self.job.rules.service);
        if !self.job.label.is_empty() {
            agents.retain(|a| a.labels.borrow().contains(&self.job.label));
        }
        let is_avoided = |a: &Rc<Agent>| self.avoided.contains(&a.name);
        if agents.iter().all(|a| is_avoided(a) || !a.load().ready) {
            self.avoided.clear();
        }
        let seats = agents.iter().map(|a| AgentView {
            load: a.load(),
            unreported: a.unreported(),
            excluded: self.avoided.contains(&a.name),
            distance_factor: self.distance(a),
            max_tasks: self.most(a),
        });
        let seats = seats.collect();
        (agents, seats)
    }

    fn distance(&self, agent: &Agent) -> f64 {
        let near = self.job.rack.is_empty() || agent.labels.borrow().contains(&self.job.rack);
        if near { 1.0 } else { self.desk.far_factor() }
    }

    /// Tasks that an agent may still get.
    fn most(&self, agent: &Agent) -> Option<usize> {
        let apart = (self.job.max_per_agent > 0).then_some(self.job.max_per_agent as usize)?;
        Some(apart.saturating_sub(self.sent.get(&agent.name).copied().unwrap_or_default()))
    }

    fn ask(&self, count: usize) -> Demand {
        Demand {
            resources: self.job.resources,
            count,
            estimate: self.job.estimate,
            objective: self.objective,
            age: self.age(),
        }
    }

    /// Nothing of it has run, and nothing is on its way.
    fn is_untouched(&self) -> bool {
        !self.started.get() && self.placed.is_empty()
    }

    fn refuse(&self) -> JobAnswer {
        let seats = self.plain_seats();
        let refusal = self.desk.placer().refuse(&seats, &self.ask(self.tasks.len()));
        let why = if seats.iter().any(|s| s.load.ready) {
            "no room in time"
        } else {
            "no backend server takes work"
        };
        JobAnswer::Refused { why: why.into(), retry_after: refusal.retry_after }
    }

    fn plain_seats(&self) -> Vec<AgentView> {
        let agents = self.desk.agents().of_service(&self.job.rules.service);
        agents.iter().map(|a| AgentView { load: a.load(), ..AgentView::default() }).collect()
    }

    /// The answer to a job that is not waited for any longer.
    fn give_up(&self, why: &str) -> JobAnswer {
        if self.is_untouched() {
            return self.refuse();
        }
        JobAnswer::Abandoned { why: why.into() }
    }

    fn age(&self) -> Duration {
        uptime().saturating_sub(self.arrived)
    }

    /// Time left until an answer is of no use.
    fn useful(&self) -> Duration {
        self.objective.cutoff.saturating_sub(self.age())
    }

    /// Time left for work, nothing when it is up.
    fn left(&self) -> Option<Duration> {
        let end = self.arrived + self.job.time_left.saturating_sub(ANSWER_TIME);
        let end = self.desk.end().map_or(end, |stop| end.min(stop));
        end.checked_sub(uptime()).filter(|left| !left.is_zero())
    }
}

impl Drop for JobExecution {
    fn drop(&mut self) {
        self.desk.forget(&self.job.id, &self.started);
        if !self.answered {
            Event::CallerDisconnected.note(&[
                ("job", (&*self.job.id).into()),
                ("queue", (&*self.job.queue).into()),
                ("age_ms", (self.age().as_millis() as u64).into()),
            ]);
            self.desk.metrics().record_answer(&self.job.queue, "caller-left", self.age());
        }
        for (agent, number) in self.placed.drain(..) {
            let caller = self.desk.client();
            actix::spawn(async move { caller.stop(agent, number).await });
        }
    }
}

async fn turn(ticket: Option<&Ticket>) {
    match ticket {
        Some(ticket) => ticket.turn().await,
        None => std::future::pending().await,
    }
}
