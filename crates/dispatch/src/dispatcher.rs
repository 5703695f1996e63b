use std::{
    cell::{Cell, Ref, RefCell, RefMut},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use base::{Event, Uptime, uptime};
use futures::{
    FutureExt,
    future::{LocalBoxFuture, Shared, WeakShared},
};
use lease::{LeaseTimings, SessionId};
use placement::{ObjectiveSettings, Placer, PlacerSettings, RackDemand};

use crate::{
    Agents, Contact, CrashHistory, Job, JobAnswer, JobKey, JobReport, Metrics, RackReport,
    agent_client::AgentClient, cancel::CancelSignal, execution::JobExecution,
    name_claims::NameClaims,
};

/// Settings of a job dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    pub timings: LeaseTimings,
    /// session of this entry with every agent
    pub session: SessionId,
    pub objective: ObjectiveSettings,
    pub placer: PlacerSettings,
    /// factor on the run time far from a job's data
    pub far_factor: f64,
}

/// Racks shown in metrics and reports, so that these don't grow with the fleet.
const SHOWN_RACKS: usize = 5;

type SharedAnswer = Shared<LocalBoxFuture<'static, JobAnswer>>;

/// Runs jobs, each to one answer.
pub struct JobDispatcher {
    settings: DispatcherSettings,
    client: AgentClient,
    metrics: Arc<Metrics>,
    placer: RefCell<Placer>,
    racks: RefCell<RackDemand>,
    crashes: RefCell<CrashHistory>,
    /// contact with all callers
    callers: Contact,
    started_at: Uptime,
    last_batch: Cell<u64>,
    /// deadline for all answers, once this entry stops
    deadline: Cell<Option<Uptime>>,
    /// jobs in progress
    jobs: RefCell<HashMap<JobKey, InProgress>>,
    name_claims: NameClaims,
}

struct InProgress {
    answer: WeakShared<LocalBoxFuture<'static, JobAnswer>>,
    spec: Arc<str>,
    count: u32,
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
        let callers = Contact::new(settings.timings.report_timeout(), uptime());
        let client = AgentClient { agents, timings: settings.timings, session: settings.session };
        let placer = Placer::new(settings.placer.clone(), settings.session.0);
        Rc::new(Self {
            settings,
            client,
            metrics,
            placer: RefCell::new(placer),
            racks: RefCell::default(),
            crashes: RefCell::default(),
            callers,
            started_at: uptime(),
            last_batch: Cell::new(0),
            deadline: Cell::new(None),
            jobs: RefCell::default(),
            name_claims: NameClaims::default(),
        })
    }

    pub(crate) fn agents(&self) -> &Agents {
        &self.client.agents
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Runs a job to its answer. The same job submitted again meanwhile gets the
    /// same answer; a job that nobody waits for any more is stopped.
    pub async fn submit(self: &Rc<Self>, job: Job) -> JobAnswer {
        let key = job.key();
        self.callers.record(uptime());
        if let Some(answer) = self.join_or_start(job) {
            return answer.await;
        }
        let answer = JobAnswer::Conflict;
        Event::JobRefused.note(&[
            ("job", (&*key.id).into()),
            ("queue", (&*key.queue).into()),
            ("answer", answer.as_str().into()),
            ("why", answer.reason().into()),
        ]);
        self.metrics.record_answer(&key.queue, answer.as_str(), Duration::ZERO);
        answer
    }

    /// Sets the deadline for all answers, because this entry stops.
    pub fn close_at(&self, deadline: Uptime) {
        self.deadline.set(Some(deadline));
    }

    /// Cancels a job; false when it isn't in progress here.
    pub fn cancel(&self, job: &JobKey) -> bool {
        match self.jobs.borrow().get(job) {
            Some(job) if job.answer.upgrade().is_some() => {
                job.cancel.cancel("cancelled by the caller");
                true
            }
            _ => false,
        }
    }

    /// Whether a job in progress here has started; `None` when there is none.
    pub fn has_started(&self, job: &JobKey) -> Option<bool> {
        let jobs = self.jobs.borrow();
        jobs.get(job).filter(|j| j.answer.upgrade().is_some()).map(|j| j.started.get())
    }

    /// Number of jobs of a queue that have not started.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.jobs.borrow();
        jobs.iter().filter(|(key, j)| &*key.queue == queue && !j.started.get()).count()
    }

    /// Cancels every job in progress, because this entry stops.
    pub fn cancel_all(&self) {
        for job in self.jobs.borrow().values() {
            job.cancel.cancel("the entry stops");
        }
    }

    /// Status of each job in progress, for operators.
    pub fn report(&self) -> Vec<JobReport> {
        let jobs = self.jobs.borrow();
        let report = |(key, job): (&JobKey, &InProgress)| JobReport {
            id: key.id.clone(),
            queue: key.queue.clone(),
            started: job.started.get(),
            age_ms: uptime().saturating_sub(job.since).as_millis() as u64,
        };
        jobs.iter().map(report).collect()
    }

    /// Updates the pressures of racks, also in the metrics.
    pub fn refresh_racks(&self) {
        let mut racks = self.racks.borrow_mut();
        if racks.is_empty() {
            return;
        }
        let capacities = self.agents().capacities();
        racks.refresh(capacities.iter().map(|(labels, cpu)| (&**labels, *cpu)), uptime());
        self.metrics.set_rack_pressures(&racks.highest(SHOWN_RACKS));
    }

    /// The racks with the highest pressure, for operators.
    pub fn rack_report(&self) -> Vec<RackReport> {
        let highest = self.racks.borrow().highest(SHOWN_RACKS);
        highest.into_iter().map(|(name, pressure)| RackReport { name, pressure }).collect()
    }

    /// Number of jobs in progress.
    pub fn len(&self) -> usize {
        self.jobs.borrow().len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.borrow().is_empty()
    }

    /// The answer to come; `None` if a job with other contents has the same key.
    fn join_or_start(self: &Rc<Self>, job: Job) -> Option<SharedAnswer> {
        let key = job.key();
        if let Some(known) = self.jobs.borrow().get(&key)
            && let Some(answer) = known.answer.upgrade()
        {
            let is_same = known.spec == job.spec && known.count == job.count;
            return is_same.then_some(answer);
        }
        self.record_demand(&job);
        let (started, cancel) = (Rc::<Cell<bool>>::default(), Rc::<CancelSignal>::default());
        let (spec, count) = (job.spec.clone(), job.count);
        let execution = JobExecution::new(self.clone(), job, started.clone(), cancel.clone());
        let answer = execution.answer().boxed_local().shared();
        // `downgrade` fails only for a future that has completed
        if let Some(weak) = answer.downgrade() {
            let it = InProgress { answer: weak, spec, count, since: uptime(), started, cancel };
            self.jobs.borrow_mut().insert(key, it);
        }
        Some(answer)
    }

    fn record_demand(&self, job: &Job) {
        let mut racks = self.racks.borrow_mut();
        if job.rack.is_empty() && racks.is_empty() {
            return;
        }
        let cores = f64::from(job.count) * f64::from(job.resources.cpu) / 1000.0;
        racks.record(&job.rack, cores * job.estimate.as_secs_f64(), uptime());
    }

    pub(crate) fn client(&self) -> AgentClient {
        self.client.clone()
    }

    pub(crate) fn placer(&self) -> RefMut<'_, Placer> {
        self.placer.borrow_mut()
    }

    pub(crate) fn racks(&self) -> Ref<'_, RackDemand> {
        self.racks.borrow()
    }

    pub(crate) fn name_claims(&self) -> &NameClaims {
        &self.name_claims
    }

    /// Crashes under the jobs of this entry.
    pub(crate) fn crashes(&self) -> RefMut<'_, CrashHistory> {
        self.crashes.borrow_mut()
    }

    pub(crate) fn objective(&self) -> &ObjectiveSettings {
        &self.settings.objective
    }

    pub(crate) fn far_factor(&self) -> f64 {
        self.settings.far_factor
    }

    /// Whether a job read now may have been sent long ago.
    pub(crate) fn may_jobs_be_late(&self) -> bool {
        let now = uptime();
        self.callers.may_be_late(now) || self.agents().contact.may_be_late(now)
    }

    /// Longest time without a look at a caller's connection before tasks are sent.
    pub(crate) fn check_interval(&self) -> Duration {
        self.settings.timings.session_ttl
    }

    /// Time since this entry started.
    pub(crate) fn age(&self) -> Duration {
        uptime().saturating_sub(self.started_at)
    }

    /// Deadline for all answers, once this entry stops.
    pub(crate) fn deadline(&self) -> Option<Uptime> {
        self.deadline.get()
    }

    /// Forgets a job that has ended, unless it was submitted again.
    pub(crate) fn forget(&self, job: &JobKey, started: &Rc<Cell<bool>>) {
        let mut jobs = self.jobs.borrow_mut();
        if jobs.get(job).is_some_and(|j| Rc::ptr_eq(&j.started, started)) {
            jobs.remove(job);
        }
    }

    pub(crate) fn next_batch(&self) -> u64 {
        self.last_batch.set(self.last_batch.get() + 1);
        self.last_batch.get()
    }
}
