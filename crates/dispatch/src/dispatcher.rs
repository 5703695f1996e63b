use std::{
    cell::{Cell, RefCell, RefMut},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use base::{Name, Uptime, uptime};
use futures::{
    FutureExt,
    future::{LocalBoxFuture, Shared, WeakShared},
};
use lease::{LeaseTimings, SessionId};
use placement::{ObjectiveSettings, Placer, PlacerSettings};

use crate::{
    Agents, Job, JobAnswer, JobReport, Metrics, agent_client::AgentClient, cancel::CancelSignal,
    execution::JobExecution,
};

/// Settings of a desk.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    pub timings: LeaseTimings,
    /// of this entry, with every agent
    pub session: SessionId,
    pub objective: ObjectiveSettings,
    pub placer: PlacerSettings,
    /// run time far from a job's data over that near it
    pub far_factor: f64,
}

type Answering = Shared<LocalBoxFuture<'static, JobAnswer>>;

/// Takes jobs to their one answer.
pub struct JobDispatcher {
    settings: DispatcherSettings,
    caller: AgentClient,
    metrics: Arc<Metrics>,
    placer: RefCell<Placer>,
    started_at: Uptime,
    batches: Cell<u64>,
    /// when this entry stops, once that is known
    end: Cell<Option<Uptime>>,
    /// jobs in progress
    jobs: RefCell<HashMap<Name, InProgress>>,
}

struct InProgress {
    answer: WeakShared<LocalBoxFuture<'static, JobAnswer>>,
    queue: Name,
    since: Uptime,
    started: Rc<Cell<bool>>,
    cancel: Rc<CancelSignal>,
}

impl JobDispatcher {
    pub fn new(
        settings: DispatcherSettings,
        agents: Rc<Agents>,
        metrics: Arc<Metrics>,
    ) -> Rc<Self> {
        let caller = AgentClient { agents, timings: settings.timings, session: settings.session };
        let placer = Placer::new(settings.placer.clone(), settings.session.0);
        Rc::new(Self {
            settings,
            caller,
            metrics,
            placer: RefCell::new(placer),
            started_at: uptime(),
            batches: Cell::new(0),
            end: Cell::new(None),
            jobs: RefCell::default(),
        })
    }

    pub(crate) fn agents(&self) -> &Agents {
        &self.caller.agents
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Runs a job to its answer. The same job handed in again while it runs
    /// gets the same answer; when nobody waits for it any more, it is given up.
    pub async fn submit(self: &Rc<Self>, job: Job) -> JobAnswer {
        let answer = self.join_or_start(job);
        answer.await
    }

    /// Answers of jobs are wanted before this time, because this entry stops.
    pub fn close_at(&self, end: Uptime) {
        self.end.set(Some(end));
    }

    /// Gives up a job that is in progress here; false when it isn't.
    pub fn cancel(&self, id: &str) -> bool {
        match self.jobs.borrow().get(id) {
            Some(job) if job.answer.upgrade().is_some() => {
                job.cancel.cancel("cancelled by the caller");
                true
            }
            _ => false,
        }
    }

    /// Whether a job in progress here has started; `None` when there is none.
    pub fn has_started(&self, id: &str) -> Option<bool> {
        let jobs = self.jobs.borrow();
        jobs.get(id).filter(|j| j.answer.upgrade().is_some()).map(|j| j.started.get())
    }

    /// Jobs of a queue of which nothing has started.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.jobs.borrow();
        jobs.values().filter(|j| &*j.queue == queue && !j.started.get()).count()
    }

    /// Gives up every job in progress, because this entry stops.
    pub fn cancel_all(&self) {
        for job in self.jobs.borrow().values() {
            job.cancel.cancel("the entry stops");
        }
    }

    /// How each job in progress stands, for operators.
    pub fn report(&self) -> Vec<JobReport> {
        let jobs = self.jobs.borrow();
        let report = |(id, job): (&Name, &InProgress)| JobReport {
            id: id.clone(),
            queue: job.queue.clone(),
            started: job.started.get(),
            age_ms: uptime().saturating_sub(job.since).as_millis() as u64,
        };
        jobs.iter().map(report).collect()
    }

    /// Jobs in progress.
    pub fn len(&self) -> usize {
        self.jobs.borrow().len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.borrow().is_empty()
    }

    fn join_or_start(self: &Rc<Self>, job: Job) -> Answering {
        let known = self.jobs.borrow().get(&job.id).and_then(|j| j.answer.upgrade());
        if let Some(answer) = known {
            return answer;
        }
        let (started, cancel) = (Rc::<Cell<bool>>::default(), Rc::<CancelSignal>::default());
        let (id, queue) = (job.id.clone(), job.queue.clone());
        let run = JobExecution::new(self.clone(), job, started.clone(), cancel.clone());
        let answer = run.answer().boxed_local().shared();
        // nobody else holds the future, so there is something to point to
        if let Some(weak) = answer.downgrade() {
            let it = InProgress { answer: weak, queue, since: uptime(), started, cancel };
            self.jobs.borrow_mut().insert(id, it);
        }
        answer
    }

    pub(crate) fn client(&self) -> AgentClient {
        self.caller.clone()
    }

    pub(crate) fn placer(&self) -> RefMut<'_, Placer> {
        self.placer.borrow_mut()
    }

    pub(crate) fn objective(&self) -> &ObjectiveSettings {
        &self.settings.objective
    }

    pub(crate) fn far_factor(&self) -> f64 {
        self.settings.far_factor
    }

    /// Time since this entry started.
    pub(crate) fn age(&self) -> Duration {
        uptime().saturating_sub(self.started_at)
    }

    /// When this entry stops, once that is known.
    pub(crate) fn end(&self) -> Option<Uptime> {
        self.end.get()
    }

    /// Forgets a job that is over, unless it is in progress anew.
    pub(crate) fn forget(&self, id: &str, started: &Rc<Cell<bool>>) {
        let mut jobs = self.jobs.borrow_mut();
        if jobs.get(id).is_some_and(|j| Rc::ptr_eq(&j.started, started)) {
            jobs.remove(id);
        }
    }

    pub(crate) fn next_batch(&self) -> u64 {
        self.batches.set(self.batches.get() + 1);
        self.batches.get()
    }
}
