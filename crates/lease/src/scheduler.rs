use std::{collections::HashMap, mem, sync::Arc, time::Duration};

use base::{Event, Name, Uptime, invariant};
use slotmap::SlotMap;

use crate::{
    AgentLoad, Batch, BatchLookup, BatchTask, CLASSES, Class, ClassStats, Crash, Delivery, Effect,
    EndCause, Ending, HealthSettings, LeaseTimings, Listing, Phase, Progress, RefusalReason,
    Resources, RunEnd, RunKey, RunProgress, SessionId, StartOrder, StartOutcome, StopOrder,
    TaskRef, TaskResult,
    batch::{BatchKey, BatchState},
    health::Health,
    plan::{Occupancy, Plan},
    queue::{Queue, Slot, Waiting},
    run::{ProgressTracker, Run, State, StopReason, Stopping},
    session::Session,
    shares::{Shares, core_seconds},
    speed::Speed,
    suspicions::Suspicions,
};

/// Time after which a stop that was not confirmed is ordered again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// Time for the backend server to stop runs whose lease has expired.
const EXPIRY_MARGIN: Duration = Duration::from_millis(60);
/// Pause of starts after the backend server rejected one for lack of capacity.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How long a batch is kept after its caller's deadline, and its results after they
/// were reported.
const BATCH_RETENTION: Duration = Duration::from_secs(5);
/// Longest caller's wait for which a batch is kept.
const MAX_KEPT_WAIT: Duration = Duration::from_secs(60);
/// How long ended runs are remembered; must exceed the delay by which listings
/// can arrive out of order.
const ENDED_RUN_RETENTION: Duration = Duration::from_secs(1);
/// Listings that fail in a row until the backend server counts as unresponsive.
const MAX_FAILED_LISTINGS: u32 = 2;
/// Share of the work at which the speed of a run is sampled.
const SAMPLE_PERCENT: u32 = 40;
/// A run has stalled after this time without progress, or after
/// [`STALL_STEPS`] times its own longest step if that is more.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Multiple of the longest step of a run after which it has stalled.
const STALL_STEPS: u32 = 5;
/// How long after the last task of a class other than 0 the order of starts and the
/// load report still distinguish classes.
const MIXED_PERIOD: Duration = Duration::from_secs(5);
/// Expected time until a run ends whose stop was ordered.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Least percentage of progress from which the end of a run is extrapolated.
const EXTRAPOLATED_PERCENT: u32 = 10;
/// Part of its expected run time that a run is expected to go on for at least,
/// as estimates are too low by up to 40 %.
const OVERRUN_DIVISOR: u32 = 10;
/// Part of their expected run time that runs take at least, as estimates are too
/// high by up to 40 %. A task is returned early only if it could not start in time
/// even then: a task that is returned too early loses capacity that becomes free
/// to less urgent ones.
const LEAST_RUN_TIME: f64 = 0.6;
/// The least that any run is expected to go on for.
const MIN_REST: Duration = Duration::from_millis(1);

/// Reason of what is returned because it can never start.
const OVERSIZED: &str = "larger than the backend server";
/// Reason of what is returned because of a drain.
const CENTRE_DRAINED: &str = "data centre is drained";
/// Multiple of these times on a cold backend server, whose runs are slower at first.
const COLD_STALL_FACTOR: u32 = 2;

/// Settings of a scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    pub timings: LeaseTimings,
    pub health: HealthSettings,
    /// most tasks in the queue
    pub max_queued: usize,
}

/// State of an agent: its backend server, the sessions of entries, and the
/// queued and active runs. Methods that give or extend a lease or start runs
/// expire sessions before they do so: an agent that was suspended gives no order
/// for a session that expired meanwhile.
pub struct Scheduler {
    settings: SchedulerSettings,
    backend: Option<Backend>,
    sessions: HashMap<SessionId, Session>,
    batches: SlotMap<BatchKey, BatchState>,
    batch_by_number: HashMap<(SessionId, u64), BatchKey>,
    /// numbers that were reported as unknown, and when
    barred: HashMap<(SessionId, u64), Uptime>,
    runs: SlotMap<RunKey, Run>,
    run_by_task: HashMap<TaskRef, RunKey>,
    queue: Queue,
    shares: Shares,
    /// until then the order and the load report distinguish classes
    mixed_until: Uptime,
    /// tasks ordered to start and tasks returned as not run, of each class
    started: [u64; CLASSES],
    returned: [u64; CLASSES],
    speed: Speed,
    health: Health,
    /// latest end of any lease that the backend server may have got
    leased_until: Uptime,
    /// ends of leases whose calls are in progress
    pending_leases: Vec<Uptime>,
    /// listings that failed in a row
    failed_listings: u32,
    /// when the first of them failed
    silent_since: Option<Uptime>,
    /// nothing has listened at the address of the backend server since the last listing
    is_gone: bool,
    /// the last listing had no orphan runs; false before the first listing
    no_orphans: bool,
    /// sequence number of the newest end processed
    last_acked: u64,
    /// number of each run listed as ended, and when it was seen
    ended_runs: HashMap<TaskRef, (u32, Uptime)>,
    /// no starts before this
    next_start: Uptime,
    is_stopping: bool,
    centre: CentreState,
    /// runs stopped because the backend server exits before they can end
    cut_short: u64,
    /// crashes of the backend server that ended runs
    crashes: u64,
    effects: Vec<Effect>,
}

/// State of the data centre of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CentreState {
    #[default]
    InUse,
    /// operators let nothing be started there
    Drained,
}

/// One incarnation of the backend server.
#[derive(Clone, Debug)]
struct Backend {
    started_ms: u64,
    capacity: Resources,
    draining: bool,
    /// earliest time at which it exits, if it said so while it drains
    leaves_at: Option<Uptime>,
    /// end of the newest period in which it was cold
    cold_until: Uptime,
}

impl Scheduler {
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            backend: None,
            sessions: HashMap::new(),
            batches: SlotMap::with_key(),
            batch_by_number: HashMap::new(),
            barred: HashMap::new(),
            runs: SlotMap::with_key(),
            run_by_task: HashMap::new(),
            queue: Queue::default(),
            shares: Shares::default(),
            mixed_until: Uptime::ZERO,
            started: [0; CLASSES],
            returned: [0; CLASSES],
            speed: Speed::default(),
            health: Health::default(),
            leased_until: Uptime::ZERO,
            pending_leases: Vec::new(),
            failed_listings: 0,
            silent_since: None,
            is_gone: false,
            no_orphans: false,
            last_acked: 0,
            ended_runs: HashMap::new(),
            next_start: Uptime::ZERO,
            is_stopping: false,
            centre: CentreState::default(),
            cut_short: 0,
            crashes: 0,
            effects: Vec::new(),
        }
    }

    /// Handles an announcement of the backend server.
    pub fn on_announcement(
        &mut self,
        started_ms: u64,
        capacity: Resources,
        phase: impl Into<Phase>,
        now: Uptime,
    ) {
        self.on_incarnation(started_ms, now);
        let Phase { draining, remaining, cold_remaining } = phase.into();
        let was_draining = self.backend.as_ref().is_some_and(|b| b.draining);
        let leaves_at = remaining.filter(|_| draining).map(|remaining| now + remaining);
        let cold_until = self.next_cold_end(cold_remaining, now);
        self.backend = Some(Backend { started_ms, capacity, draining, leaves_at, cold_until });
        if draining && !was_draining {
            Event::BackendDraining.note(&[
                ("born", started_ms.into()),
                ("remaining_ms", remaining.map_or(-1, |r| millis(r) as i64).into()),
            ]);
            self.return_queued("backend server leaves", now);
        }
        self.return_oversized(capacity, now);
        self.advance(now);
    }

    /// Handles the notice that the backend server exits.
    pub fn on_backend_exit(&mut self, now: Uptime) {
        self.return_queued("backend server left", now);
        self.backend = None;
        self.advance(now);
    }

    /// Starts nothing new and lets runs end, because the agent stops.
    pub fn drain(&mut self, now: Uptime) {
        self.is_stopping = true;
        self.return_queued("agent stops", now);
        self.advance(now);
    }

    /// Sets the state of the agent's data centre. While it is drained nothing new
    /// starts, and runs end.
    pub fn set_centre_state(&mut self, state: CentreState, now: Uptime) {
        let before = mem::replace(&mut self.centre, state);
        if state == CentreState::Drained && before != state {
            self.return_queued(CENTRE_DRAINED, now);
        }
        self.advance(now);
    }

    /// Stops all runs, because the agent has no time left.
    pub fn stop_all(&mut self, now: Uptime) {
        let active: Vec<RunKey> = self.active_runs().collect();
        for key in active {
            self.stop_run(key, StopReason::AgentStopping, now);
        }
        self.advance(now);
    }

    /// Opens or extends the session of an entry that was alive at `at`.
    pub fn extend_session(&mut self, id: SessionId, name: &Name, at: Uptime, now: Uptime) {
        // expire first: a session that expired while this agent was suspended
        // must not be extended
        self.expire_sessions(now);
        if at + self.settings.timings.session_ttl < now {
            return;
        }
        let session = self.sessions.entry(id).or_insert_with(|| {
            Event::SessionOpened.note(&[("entry", (&**name).into()), ("session", id.0.into())]);
            Session { name: name.clone(), centre: Name::default(), last_seen: at }
        });
        session.last_seen = session.last_seen.max(at);
    }

    /// Sets the data centre of an entry, if it has a session.
    pub fn set_centre(&mut self, id: SessionId, centre: &Name) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.centre = centre.clone();
        }
    }

    /// Whether an entry has tasks queued or running here.
    pub fn has_open_work(&self, id: SessionId) -> bool {
        self.batches.values().any(|b| b.session == id && b.pending > 0)
            || self.runs.values().any(|r| self.session_of(r) == Some(id))
    }

    /// Closes the session of an entry that doesn't need this agent and has no
    /// open work.
    pub fn close_session(&mut self, id: SessionId) {
        invariant!(!self.has_open_work(id), "session {} closed with open work", id.0);
        if let Some(session) = self.sessions.remove(&id) {
            Event::SessionClosed
                .note(&[("entry", (&*session.name).into()), ("session", id.0.into())]);
        }
    }

    /// Latest time at which an entry is known to have been alive.
    pub fn last_seen(&self, id: SessionId) -> Option<Uptime> {
        self.sessions.get(&id).map(|s| s.last_seen)
    }

    /// Queues the tasks of a batch; those that can't be accepted, for example
    /// because they can't start in time, are returned at once. A batch whose number
    /// is known already is not queued again.
    pub fn place(&mut self, id: SessionId, batch: Batch, now: Uptime) -> BatchKey {
        self.expire_sessions(now);
        if let Some(key) = self.batch_by_number.get(&(id, batch.number)) {
            return *key;
        }
        let tasks = batch.tasks.clone();
        let start_deadline = now + batch.max_wait.min(batch.time_left);
        // a task that is here for another batch may run, so the job can't be said not
        // to have run
        let is_here = |task: &BatchTask| {
            let task = TaskRef { job: batch.job.clone(), index: task.index };
            self.run_by_task.contains_key(&task)
        };
        let started = tasks.iter().any(is_here);
        let class = batch.class;
        if class > Class::default() {
            self.mixed_until = now + MIXED_PERIOD;
        }
        let centre = self.sessions.get(&id).map(|s| s.centre.clone()).unwrap_or_default();
        let key = self.batches.insert(BatchState {
            session: id,
            number: batch.number,
            job: batch.job.clone(),
            spec: batch.spec,
            resources: batch.resources,
            estimate: batch.estimate,
            class,
            centre,
            results: Vec::new(),
            pending: tasks.len() as u32,
            started,
            kept_until: kept_until(now, batch.time_left),
            ended_at: None,
        });
        self.batch_by_number.insert((id, batch.number), key);
        let mut queued = 0u32;
        for task in &tasks {
            if self.queue.len() >= self.settings.max_queued {
                self.evict_behind(class, now);
            }
            match self.refusal(id, key, *task, start_deadline, now) {
                Some(reason) => self.reject(key, *task, reason, now),
                None => {
                    queued += 1;
                    self.enqueue(key, *task, start_deadline, now);
                }
            }
        }
        Event::BatchQueued.note(&[
            ("job", (&*batch.job).into()),
            ("session", id.0.into()),
            ("batch", batch.number.into()),
            ("queued", queued.into()),
            ("asked", (tasks.len() as u64).into()),
            ("wait_ms", millis(batch.max_wait).into()),
            ("free_cpu", self.free().cpu.into()),
            ("waiting", (self.queue.len() as u64).into()),
        ]);
        self.advance(now);
        key
    }

    /// Finds a batch by the number that its entry gave it.
    pub fn find(&self, id: SessionId, number: u64) -> Option<BatchKey> {
        self.batch_by_number.get(&(id, number)).copied()
    }

    /// Looks up a batch that was sent at `sent_at` or later, on this agent's clock,
    /// for a caller who waited for `time_left` from then on. A number that is not
    /// known is barred, so that its batch is rejected if it arrives after all.
    pub fn look_up(
        &mut self,
        id: SessionId,
        number: u64,
        sent_at: Uptime,
        time_left: Duration,
        now: Uptime,
    ) -> BatchLookup {
        if let Some(key) = self.find(id, number) {
            return BatchLookup::Known(key);
        }
        self.bar(id, number, now);
        // had it been received, it would have been kept at least until then
        let is_forgotten = kept_until(sent_at, time_left) < now;
        Event::BatchUnknown.note(&[
            ("session", id.0.into()),
            ("batch", number.into()),
            ("sent_ms", millis(now.saturating_sub(sent_at)).into()),
            ("forgotten", is_forgotten.into()),
        ]);
        if is_forgotten { BatchLookup::Forgotten } else { BatchLookup::NeverReceived }
    }

    /// Rejects the batch with a number that is not known, if it arrives after all.
    pub fn bar(&mut self, id: SessionId, number: u64, now: Uptime) {
        self.barred.insert((id, number), now);
    }

    /// Progress of a batch beyond the first `after` results; `None` for an
    /// unknown batch, and until all tasks have ended or a new result has an
    /// ending other than `Done`.
    pub fn progress(&self, key: BatchKey, after: usize, now: Uptime) -> Option<Progress> {
        let batch = self.batches.get(key)?;
        let new = batch.results.get(after..).unwrap_or_default();
        let is_due = batch.pending == 0 || new.iter().any(|r| r.ending != Ending::Done);
        is_due.then(|| Progress {
            results: new.to_vec(),
            pending: batch.pending,
            load: self.load(now),
            started: batch.started,
        })
    }

    /// Stops the runs of a batch that its entry no longer wants.
    pub fn cancel_batch(&mut self, key: BatchKey, now: Uptime) {
        let runs: Vec<RunKey> = self.runs_of(key).collect();
        for run in runs {
            self.stop_run(run, StopReason::Cancelled, now);
        }
        self.advance(now);
    }

    /// Handles the outcome of a start order.
    pub fn on_start_outcome(&mut self, key: RunKey, outcome: StartOutcome, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        if run.state != State::Starting {
            // a stop was ordered meanwhile, or a listing was faster
            return;
        }
        match outcome {
            StartOutcome::Accepted => {
                run.state = State::Running(now);
                run.has_run = true;
            }
            StartOutcome::Indeterminate => {
                Event::OrderUnanswered.note(&[
                    ("job", (&*run.task.job).into()),
                    ("index", run.task.index.into()),
                    ("run", run.number.into()),
                ]);
                // the order may still be carried out: a stop voids it
                self.stop_run(key, StopReason::Unanswered, now);
            }
            StartOutcome::Rejected(reason) => self.on_start_rejected(key, reason, now),
        }
        self.advance(now);
    }

    /// Handles the confirmation of a stop.
    pub fn on_stop_confirmed(&mut self, order: &StopOrder, now: Uptime) {
        let Some(run) = self.run_by_task.get(&order.task).and_then(|k| self.runs.get_mut(*k))
        else {
            return;
        };
        if run.number != order.run {
            return;
        }
        if let State::Stopping(stopping) = &mut run.state
            && stopping.confirmed_at.is_none()
        {
            stopping.confirmed_at = Some(now);
            self.effects.push(Effect::RefreshListing);
        }
    }

    /// Handles a listing of the backend server.
    pub fn on_listing(&mut self, listing: &Listing, now: Uptime) {
        if self.failed_listings >= MAX_FAILED_LISTINGS {
            Event::BackendResponsive.note(&[("missed", self.failed_listings.into())]);
        }
        self.failed_listings = 0;
        self.on_incarnation(listing.started_ms, now);
        self.silent_since = None;
        self.is_gone = false;
        self.expire_sessions(now);
        // an answer is held back for at most the renewal interval: one that was read later,
        // because this agent was suspended, is older than it looks
        let wait = self.settings.timings.renewal_interval();
        let seen_at = now.min(listing.requested_at + wait);
        let mut has_orphans = false;
        for run in &listing.running {
            has_orphans |= !self.on_progress(run, seen_at, now);
        }
        for end in &listing.ended {
            self.on_run_end(end, now);
        }
        let listed: Vec<(&TaskRef, u32)> =
            listing.running.iter().map(|r| (&r.task, r.run)).collect();
        let unlisted: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, r)| r.is_active() && !listed.contains(&(&r.task, r.number)))
            .map(|(key, _)| key)
            .collect();
        for key in unlisted {
            self.on_unlisted(key, listing.requested_at, now);
        }
        self.no_orphans = !has_orphans;
        self.advance(now);
    }

    /// Handles the failure of a listing because nothing listens at the address of the
    /// backend server.
    pub fn on_not_listening(&mut self, now: Uptime) {
        self.is_gone = true;
        self.on_listing_failed(now);
    }

    /// Handles the failure of a listing.
    pub fn on_listing_failed(&mut self, now: Uptime) {
        self.failed_listings += 1;
        self.silent_since.get_or_insert(now);
        if self.failed_listings == MAX_FAILED_LISTINGS {
            Event::BackendUnresponsive
                .note(&[("running", (self.active_runs().count() as u64).into())]);
            self.return_queued("backend server is silent", now);
        }
        self.advance(now);
    }

    /// Renews the lease of the backend server; gives its end, or `None` if no
    /// session is live, so that the lease expires.
    pub fn renew_lease(&mut self, now: Uptime) -> Option<Uptime> {
        self.expire_sessions(now);
        let last_seen = self.sessions.values().map(|s| s.last_seen).max()?;
        Some(self.extend_lease(last_seen, now))
    }

    /// Renews the lease for a run about to be ordered; `None` when it must no
    /// longer start.
    pub fn lease_for_start(&mut self, key: RunKey, now: Uptime) -> Option<Uptime> {
        self.expire_sessions(now);
        // the drain may have begun between the order and its sending
        if self.centre == CentreState::Drained {
            return None;
        }
        let run = self.runs.get(key).filter(|r| r.state == State::Starting)?;
        let last_seen = self.sessions.get(&self.session_of(run)?)?.last_seen;
        Some(self.extend_lease(last_seen, now))
    }

    /// Handles the outcome of the call with a lease that ends at `end`. Until then, the
    /// lease counts as given.
    pub fn settle_lease(&mut self, end: Uptime, delivery: Delivery) {
        let Some(index) = self.pending_leases.iter().position(|e| *e == end) else { return };
        self.pending_leases.swap_remove(index);
        if delivery == Delivery::Possible {
            self.leased_until = self.leased_until.max(end);
        }
    }

    /// Sequence number of the newest end processed.
    pub fn last_acked(&self) -> u64 {
        self.last_acked
    }

    /// Whether any run is active: starting, running or stopping.
    pub fn is_busy(&self) -> bool {
        self.active_runs().next().is_some()
    }

    /// Does what is due by `now`.
    pub fn tick(&mut self, now: Uptime) {
        self.advance(now);
    }

    /// Latest time for the next call of [`Scheduler::tick`].
    pub fn next_due(&self, now: Uptime) -> Uptime {
        let ttl = self.settings.timings.session_ttl;
        let sessions = self.sessions.values().map(|s| s.last_seen + ttl);
        let deadline = self.queue.first().map(|(deadline, _)| deadline);
        let start = (!self.queue.is_empty() && self.next_start > now).then_some(self.next_start);
        let expiry = self.is_busy().then(|| self.lease_expiry());
        let stops = self.runs.values().filter_map(|r| match r.state {
            State::Stopping(s) if s.confirmed_at.is_none() => {
                Some(s.ordered_at + STOP_RETRY_INTERVAL)
            }
            _ => None,
        });
        let due = sessions.chain(deadline).chain(start).chain(expiry).chain(stops).min();
        due.unwrap_or(now + BATCH_RETENTION).max(now + Duration::from_millis(1))
    }

    /// Takes the actions requested since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }

    /// Whether new tasks are accepted.
    pub fn is_ready(&self, now: Uptime) -> bool {
        self.unready_reason().is_none() && self.is_trusted(now)
    }

    /// Load and capacity for more tasks.
    pub fn load(&self, now: Uptime) -> AgentLoad {
        let capacity = self.backend.as_ref().map(|b| b.capacity).unwrap_or_default();
        AgentLoad {
            ready: self.is_ready(now),
            capacity,
            free: self.free(),
            expected_wait: self.expected_wait(Uptime::MAX),
            slowness: self.speed.slowness(),
            suspect: self.health.is_suspect(),
            class_waits: self.is_mixed(now).then(|| self.class_waits(now)),
        }
    }

    /// Figures of each class, for the metrics.
    pub fn class_stats(&self) -> [ClassStats; CLASSES] {
        let (waiting, shares) = (self.queue.counts(), self.shares.ratios());
        std::array::from_fn(|class| ClassStats {
            started: self.started[class],
            returned: self.returned[class],
            waiting: waiting[class],
            share: shares[class],
        })
    }

    /// Whether the backend server has announced that it drains.
    pub fn is_draining(&self) -> bool {
        self.backend.as_ref().is_some_and(|b| b.draining)
    }

    /// Whether the backend server is slow because it started recently.
    pub fn is_cold(&self, now: Uptime) -> bool {
        now < self.cold_until()
    }

    /// Number of runs stopped because the backend server exits before they can end.
    pub fn cut_short(&self) -> u64 {
        self.cut_short
    }

    /// Number of crashes of the backend server that ended runs.
    pub fn crashes(&self) -> u64 {
        self.crashes
    }

    /// Queued tasks and active runs.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.active_runs().count())
    }

    /// Extends the lease for entries last seen at `last_seen`; gives its end.
    fn extend_lease(&mut self, last_seen: Uptime, now: Uptime) -> Uptime {
        let LeaseTimings { session_ttl, lease_ttl, .. } = self.settings.timings;
        let lease_end = (last_seen + session_ttl).min(now + lease_ttl);
        // those without an outcome by their end count as given
        let ended = self.pending_leases.extract_if(.., |end| *end < now);
        self.leased_until = ended.fold(self.leased_until, Uptime::max);
        self.pending_leases.push(lease_end);
        lease_end
    }

    fn advance(&mut self, now: Uptime) {
        self.expire_sessions(now);
        self.expire_leases(now);
        self.return_overdue(now);
        self.stop_unfinishable(now);
        self.start_queued(now);
        self.return_hopeless(now);
        self.retry_stops(now);
        self.forget_ended(now);
    }

    fn expire_sessions(&mut self, now: Uptime) {
        let ttl = self.settings.timings.session_ttl;
        let expired: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.last_seen + ttl < now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let Some(session) = self.sessions.remove(&id) else { continue };
            let runs: Vec<RunKey> = self
                .runs
                .iter()
                .filter(|(_, r)| self.session_of(r) == Some(id))
                .map(|(k, _)| k)
                .collect();
            Event::SessionExpired.note(&[
                ("entry", (&*session.name).into()),
                ("session", id.0.into()),
                ("silent_ms", millis(now.saturating_sub(session.last_seen)).into()),
                ("runs", (runs.len() as u64).into()),
            ]);
            for key in runs {
                self.stop_run(key, StopReason::SessionExpired, now);
            }
        }
    }

    /// Ends all active runs once the lease has expired, whether the backend server
    /// answers or not.
    fn expire_leases(&mut self, now: Uptime) {
        if now <= self.lease_expiry() || !self.is_busy() {
            return;
        }
        let active: Vec<RunKey> = self.active_runs().collect();
        Event::LeasesExpired
            .note(&[("runs", (active.len() as u64).into()), ("gone", self.is_gone.into())]);
        let reason = if self.is_gone && !self.is_draining() {
            self.record_crash(&active, now);
            "backend server crashed"
        } else {
            "lease of the backend server lapsed"
        };
        for key in active {
            self.end_run(key, Ending::Lost, reason, now);
        }
    }

    fn lease_expiry(&self) -> Uptime {
        let ttl = self.settings.timings.lease_ttl;
        let leased_until = self.pending_leases.iter().copied().fold(self.leased_until, Uptime::max);
        leased_until + LeaseTimings::worst_case_expiry(ttl).saturating_sub(ttl) + EXPIRY_MARGIN
    }

    /// Stops the runs that can't end before the backend server exits, so that their
    /// tasks run elsewhere earlier.
    fn stop_unfinishable(&mut self, now: Uptime) {
        let Some(leaves_at) = self.backend.as_ref().and_then(|b| b.leaves_at) else { return };
        let is_unfinishable = |run: &Run| {
            matches!(run.state, State::Starting | State::Running(_))
                && self.expected_end(run, 1.0, now) > leaves_at
        };
        let unfinishable = self.runs.iter().filter(|(_, r)| is_unfinishable(r));
        let unfinishable: Vec<RunKey> = unfinishable.map(|(key, _)| key).collect();
        for key in unfinishable {
            let Some(run) = self.runs.get(key) else { continue };
            Event::RunCutShort.note(&[
                ("job", (&*run.task.job).into()),
                ("index", run.task.index.into()),
                ("run", run.number.into()),
                ("percent", run.progress.percent.into()),
                ("left_ms", millis(leaves_at.saturating_sub(now)).into()),
            ]);
            self.cut_short += 1;
            self.stop_run(key, StopReason::BackendLeaving, now);
        }
    }

    fn cold_until(&self) -> Uptime {
        self.backend.as_ref().map(|b| b.cold_until).unwrap_or_default()
    }

    /// End of the newest cold period after an announcement that it lasts for
    /// `remaining` more.
    fn next_cold_end(&self, remaining: Duration, now: Uptime) -> Uptime {
        let was_cold = self.is_cold(now);
        if remaining.is_zero() {
            if was_cold {
                Event::BackendWarm.note(&[]);
            }
            return self.cold_until().min(now);
        }
        if !was_cold {
            Event::BackendCold.note(&[("remaining_ms", millis(remaining).into())]);
        }
        now + remaining
    }

    /// Records the run time of a task, unless its run began on a cold backend server,
    /// whose times say nothing about its usual speed.
    fn observe_speed(&mut self, ordered_at: Uptime, run_time: Duration, estimate: Duration) {
        if ordered_at >= self.cold_until() {
            self.speed.observe(run_time, estimate);
        }
    }

    fn return_overdue(&mut self, now: Uptime) {
        while let Some(slot) = self.queue.first().filter(|(deadline, _)| *deadline < now) {
            self.queue.remove(slot);
            self.end_run(slot.1, Ending::NotRun, "no room in time", now);
        }
    }

    /// Returns tasks that can't start in time because of those that start before
    /// them, while they can still end in time elsewhere.
    fn return_hopeless(&mut self, now: Uptime) {
        for slot in self.hopeless(now) {
            self.queue.remove(slot);
            self.end_run(slot.1, Ending::NotRun, "no room expected in time", now);
        }
    }

    fn hopeless(&self, now: Uptime) -> Vec<Slot> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        if self.is_mixed(now) {
            let mut plan = self.plan(LEAST_RUN_TIME, now);
            let planned = std::iter::from_fn(|| plan.next());
            return planned.filter(|p| p.start.is_none()).map(|p| p.slot).collect();
        }
        let free = self.free();
        let mut ahead = 0.0;
        let is_hopeless = |(deadline, key): &Slot| {
            let Some(run) = self.runs.get(*key) else { return false };
            let cpu = f64::from(self.resources_of(run).cpu);
            let is_late = now + self.time_to_free(ahead + cpu, free) > *deadline;
            ahead += if is_late { 0.0 } else { cpu };
            is_late
        };
        self.queue.iter().filter(is_hopeless).collect()
    }

    fn start_queued(&mut self, now: Uptime) {
        if self.unready_reason().is_some() || self.next_start > now {
            return;
        }
        for (slot, resources) in self.next_starts(now) {
            let (_, key) = slot;
            if !resources.fits(self.free()) || self.renew_lease(now).is_none() {
                return;
            }
            self.queue.remove(slot);
            self.order_start(key, now);
        }
    }

    /// The queued runs that start now, in order, and what they need.
    fn next_starts(&self, now: Uptime) -> Vec<(Slot, Resources)> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        if self.is_mixed(now) {
            let mut plan = self.plan(LEAST_RUN_TIME, now);
            // those that can't start in time are returned, and delay no other
            let planned = std::iter::from_fn(|| plan.next()).filter(|p| p.start.is_some());
            let next = planned.take_while(|p| p.start.is_some_and(|start| start <= now));
            return next.map(|p| (p.slot, p.resources)).collect();
        }
        let mut free = self.free();
        let needs = |slot: Slot| Some((slot, self.resources_of(self.runs.get(slot.1)?)));
        let fits = |(_, resources): &(Slot, Resources)| {
            let fits = resources.fits(free);
            free = free.minus(*resources);
            fits
        };
        self.queue.iter().filter_map(needs).take_while(fits).collect()
    }

    /// Whether tasks of several classes compete, or did so lately.
    fn is_mixed(&self, now: Uptime) -> bool {
        now < self.mixed_until || self.queue.counts()[1..].iter().any(|count| *count > 0)
    }

    /// Order and expected times of the starts of the queued runs.
    fn plan(&self, run_factor: f64, now: Uptime) -> Plan<'_> {
        let capacity = self.backend.as_ref().map(|b| b.capacity).unwrap_or_default();
        let mut occupancy = Occupancy::new(now.max(self.next_start), capacity, self.free());
        for run in self.runs.values().filter(|r| r.is_active()) {
            occupancy.add_run(self.expected_end(run, run_factor, now), self.resources_of(run));
        }
        Plan::new(&self.queue, &self.shares, occupancy, self.speed.slowness(), run_factor)
    }

    /// Expected end of an active run: by its progress, else by its estimate.
    fn expected_end(&self, run: &Run, run_factor: f64, now: Uptime) -> Uptime {
        if let State::Stopping(_) = run.state {
            return now + STOP_TIME;
        }
        let ProgressTracker { percent, changed_at, .. } = run.progress;
        let run_time = if percent >= EXTRAPOLATED_PERCENT {
            changed_at.saturating_sub(run.ordered_at).mul_f64(100.0 / f64::from(percent))
        } else {
            let estimate = self.batches.get(run.batch).map(|b| b.estimate).unwrap_or_default();
            self.expected_run_time(estimate).mul_f64(run_factor)
        };
        (run.ordered_at + run_time).max(now + (run_time / OVERRUN_DIVISOR).max(MIN_REST))
    }

    fn expected_run_time(&self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.speed.slowness())
    }

    /// Expected wait of one more task of each class, of the mean size of the
    /// active runs.
    fn class_waits(&self, now: Uptime) -> [Duration; CLASSES] {
        let resources = Resources { cpu: self.mean_cpu() as u32, ..Resources::default() };
        self.plan(1.0, now).class_starts(resources).map(|start| start.saturating_sub(now))
    }

    /// Makes room in a full queue for a task, by returning the last one of the least
    /// urgent class, if that is less urgent.
    fn evict_behind(&mut self, class: Class, now: Uptime) {
        let Some(slot) = self.queue.last_behind(class) else { return };
        self.queue.remove(slot);
        self.end_run(slot.1, Ending::NotRun, "queue is full", now);
    }

    fn order_start(&mut self, key: RunKey, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let Some(batch) = self.batches.get_mut(run.batch) else { return };
        invariant!(
            self.sessions.contains_key(&batch.session),
            "start of {} for a session that has expired",
            run.task
        );
        invariant!(
            self.centre != CentreState::Drained,
            "start of {} in a drained data centre",
            run.task
        );
        run.state = State::Starting;
        run.ordered_at = now;
        batch.started = true;
        let run_time = batch.estimate.mul_f64(self.speed.slowness());
        let used = core_seconds(batch.resources.cpu, run_time);
        self.shares.record(batch.class, &batch.centre, used, now);
        self.started[batch.class.index()] += 1;
        if batch.class > Class::default() {
            self.mixed_until = now + MIXED_PERIOD;
        }
        self.effects.push(Effect::Start(StartOrder {
            key,
            task: run.task.clone(),
            run: run.number,
            spec: batch.spec.clone(),
        }));
    }

    fn on_start_rejected(&mut self, key: RunKey, reason: RefusalReason, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        Event::OrderRefused.note(&[
            ("job", (&*run.task.job).into()),
            ("index", run.task.index.into()),
            ("run", run.number.into()),
            ("why", format!("{reason:?}").as_str().into()),
        ]);
        if let Some(batch) = self.batches.get(run.batch) {
            // with the speed at the order, unless a run has ended meanwhile
            let run_time = batch.estimate.mul_f64(self.speed.slowness());
            let used = core_seconds(batch.resources.cpu, run_time);
            self.shares.withdraw(batch.class, &batch.centre, used, run.ordered_at);
        }
        match reason {
            RefusalReason::Room => {
                self.next_start = now + START_RETRY_INTERVAL;
                self.requeue(key, now);
            }
            RefusalReason::Old => {
                // the backend server has seen this or a higher number, from an earlier job
                // or process, unknown here: doubling passes it in few attempts
                run.number = run.number.saturating_mul(2);
                self.requeue(key, now);
            }
            RefusalReason::Late | RefusalReason::Fenced => self.requeue(key, now),
            RefusalReason::Busy => {
                self.record_failure(now);
                self.end_run(key, Ending::NotRun, "backend server refused it", now);
            }
            RefusalReason::Invalid => {
                self.end_run(key, Ending::NotRun, "backend server can't read the order", now);
            }
        }
    }

    fn requeue(&mut self, key: RunKey, now: Uptime) {
        if self.unready_reason().is_some() {
            return self.end_run(key, Ending::NotRun, "backend server takes no new work", now);
        }
        let Some(run) = self.runs.get_mut(key) else { return };
        run.state = State::Queued;
        run.has_run = false;
        run.progress = ProgressTracker::default();
        let (slot, batch) = ((run.start_deadline, key), run.batch);
        self.push_queued(slot, batch);
    }

    fn push_queued(&mut self, slot: Slot, batch: BatchKey) {
        let Some(batch) = self.batches.get(batch) else { return };
        let waiting = Waiting { resources: batch.resources, estimate: batch.estimate };
        self.queue.insert(slot, batch.class, &batch.centre, waiting);
    }

    fn retry_stops(&mut self, now: Uptime) {
        for run in self.runs.values_mut() {
            let State::Stopping(stopping) = &mut run.state else { continue };
            if stopping.confirmed_at.is_none() && stopping.ordered_at + STOP_RETRY_INTERVAL <= now {
                stopping.ordered_at = now;
                let order = StopOrder { task: run.task.clone(), run: run.number };
                self.effects.push(Effect::Stop(order));
            }
        }
    }

    fn forget_ended(&mut self, now: Uptime) {
        self.ended_runs.retain(|_, (_, at)| *at + ENDED_RUN_RETENTION > now);
        self.barred.retain(|_, at| *at + BATCH_RETENTION > now);
        let is_old = |b: &BatchState| {
            b.kept_until < now && b.ended_at.is_some_and(|at| at + BATCH_RETENTION < now)
        };
        let batch_by_number = &mut self.batch_by_number;
        self.batches.retain(|_, batch| {
            let keep = !is_old(batch);
            if !keep {
                batch_by_number.remove(&(batch.session, batch.number));
            }
            keep
        });
    }

    /// Why a task is returned at once; `None` when it may be queued.
    fn refusal(
        &self,
        id: SessionId,
        key: BatchKey,
        task: BatchTask,
        start_deadline: Uptime,
        now: Uptime,
    ) -> Option<&'static str> {
        if !self.sessions.contains_key(&id) {
            return Some("session lapsed");
        }
        let batch = self.batches.get(key)?;
        if self.barred.contains_key(&(id, batch.number)) {
            return Some("its entry was told that it is unknown");
        }
        if let Some(reason) = self.unready_reason() {
            return Some(reason);
        }
        if !self.is_trusted(now) {
            return Some("backend server is suspect");
        }
        if self.run_by_task.contains_key(&TaskRef { job: batch.job.clone(), index: task.index }) {
            return Some("another run of the task is here");
        }
        let capacity = self.backend.as_ref().map(|b| b.capacity).unwrap_or_default();
        if !batch.resources.fits(capacity) {
            return Some(OVERSIZED);
        }
        if self.queue.len() >= self.settings.max_queued {
            return Some("queue is full");
        }
        // of several classes, the order decides once the whole batch is queued
        if self.is_mixed(now) {
            return None;
        }
        let fits = self.queue.is_empty() && batch.resources.fits(self.free());
        if !fits && now + self.expected_wait(start_deadline) > start_deadline {
            return Some("no room in time");
        }
        None
    }

    /// Expected wait of a task queued after those that must start by `start_deadline`.
    fn expected_wait(&self, start_deadline: Uptime) -> Duration {
        let ahead: f64 = self
            .queue
            .iter()
            .take_while(|(deadline, _)| *deadline <= start_deadline)
            .filter_map(|(_, key)| self.runs.get(key))
            .map(|run| f64::from(self.resources_of(run).cpu))
            .sum();
        // the task itself counts with the mean of the active runs
        self.time_to_free(ahead + self.mean_cpu(), self.free())
    }

    /// Expected time until `cpu` millicores are free, with `free` now.
    fn time_to_free(&self, cpu: f64, free: Resources) -> Duration {
        let Some(backend) = &self.backend else { return Duration::ZERO };
        let missing = (cpu - f64::from(free.cpu)).max(0.0);
        self.speed.mean().mul_f64(missing / f64::from(backend.capacity.cpu.max(1)))
    }

    /// Mean of the millicores that active runs use; 0 if there are none.
    fn mean_cpu(&self) -> f64 {
        let cpus =
            self.active_runs().filter_map(|k| self.runs.get(k)).map(|r| self.resources_of(r).cpu);
        let (count, sum) = cpus.fold((0u32, 0.0), |(n, sum), cpu| (n + 1, sum + f64::from(cpu)));
        sum / f64::from(count.max(1))
    }

    fn enqueue(&mut self, batch: BatchKey, task: BatchTask, start_deadline: Uptime, now: Uptime) {
        let Some(state) = self.batches.get(batch) else { return };
        let task_ref = TaskRef { job: state.job.clone(), index: task.index };
        let key = self.runs.insert(Run {
            batch,
            task: task_ref.clone(),
            number: task.run.max(1),
            start_deadline,
            state: State::Queued,
            ordered_at: now,
            progress: ProgressTracker::default(),
            has_run: false,
            crash: None,
        });
        self.run_by_task.insert(task_ref, key);
        self.push_queued((start_deadline, key), batch);
    }

    /// Handles a run that the backend server listed as running at `seen_at`. False
    /// for an orphan run, which is stopped.
    fn on_progress(&mut self, row: &RunProgress, seen_at: Uptime, now: Uptime) -> bool {
        let key = self.run_by_task.get(&row.task).copied();
        let Some((key, run)) = key.and_then(|k| Some((k, self.runs.get_mut(k)?))) else {
            // this listing was overtaken by the one with the end of the run
            if self.ended_runs.get(&row.task).is_some_and(|(run, _)| *run >= row.run) {
                return true;
            }
            self.stop_orphan(row);
            return false;
        };
        if run.number != row.run {
            self.stop_orphan(row);
            return false;
        }
        run.has_run = true;
        match run.state {
            State::Queued => {
                self.stop_orphan(row);
                return false;
            }
            State::Starting => run.state = State::Running(now),
            State::Running(_) => {}
            State::Stopping(_) => return true,
        }
        self.track_progress(key, row.percent, seen_at, now);
        true
    }

    fn stop_orphan(&mut self, row: &RunProgress) {
        Event::OrphanRun.note(&[
            ("job", (&*row.task.job).into()),
            ("index", row.task.index.into()),
            ("run", row.run.into()),
        ]);
        self.effects.push(Effect::Stop(StopOrder { task: row.task.clone(), run: row.run }));
    }

    fn track_progress(&mut self, key: RunKey, percent: u32, seen_at: Uptime, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let estimate = self.batches.get(run.batch).map(|b| b.estimate).unwrap_or_default();
        let progress = &mut run.progress;
        if percent > progress.percent || progress.changed_at.is_zero() {
            if !progress.changed_at.is_zero() {
                progress.longest_step =
                    progress.longest_step.max(now.saturating_sub(progress.changed_at));
            }
            progress.percent = percent;
            progress.changed_at = now;
            if percent >= SAMPLE_PERCENT && !progress.is_sampled {
                progress.is_sampled = true;
                let ordered_at = run.ordered_at;
                let run_time = now.saturating_sub(ordered_at).mul_f64(100.0 / f64::from(percent));
                self.observe_speed(ordered_at, run_time, estimate);
            }
            return;
        }
        let limit = STALL_TIMEOUT.max(progress.longest_step * STALL_STEPS);
        let silence = seen_at.saturating_sub(progress.changed_at);
        let factor = if self.is_cold(now) { COLD_STALL_FACTOR } else { 1 };
        if silence > limit * factor {
            self.record_failure(now);
            self.stop_run(key, StopReason::Stalled, now);
        }
    }

    fn on_run_end(&mut self, row: &RunEnd, now: Uptime) {
        if row.sequence <= self.last_acked {
            return;
        }
        self.last_acked = row.sequence;
        self.ended_runs.insert(row.task.clone(), (row.run, now));
        let Some(key) = self.run_by_task.get(&row.task).copied() else { return };
        let Some(run) = self.runs.get(key) else { return };
        if run.number != row.run || !run.is_active() {
            return;
        }
        match row.cause {
            EndCause::Done => {
                self.record_success();
                self.end_run(key, Ending::Done, "", now);
            }
            EndCause::Failed => {
                self.record_failure(now);
                self.end_run(key, Ending::Failed, "failed on the backend server", now);
            }
            EndCause::Stopped | EndCause::Expired | EndCause::Preempted => {
                self.on_stopped(key, now)
            }
        }
    }

    /// Handles an active run that a listing requested at `requested_at` lacks.
    fn on_unlisted(&mut self, key: RunKey, requested_at: Uptime, now: Uptime) {
        let Some(run) = self.runs.get(key) else { return };
        match run.state {
            State::Running(since) if since < requested_at => self.on_stopped(key, now),
            State::Stopping(Stopping { confirmed_at: Some(at), .. }) if at < requested_at => {
                self.on_stopped(key, now);
            }
            _ => {}
        }
    }

    /// Handles a run that was stopped or never started, and can't start any more.
    fn on_stopped(&mut self, key: RunKey, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let State::Stopping(stopping) = run.state else {
            return self.end_run(key, Ending::Lost, "lapsed on the backend server", now);
        };
        if stopping.reason == StopReason::Unanswered && now <= run.start_deadline {
            run.number += 1;
            return self.requeue(key, now);
        }
        self.end_run(key, Ending::Lost, stopping.reason.as_str(), now);
    }

    fn stop_run(&mut self, key: RunKey, reason: StopReason, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        match &mut run.state {
            State::Queued => {
                self.queue.remove((run.start_deadline, key));
                self.end_run(key, Ending::NotRun, reason.as_str(), now);
            }
            State::Stopping(stopping) => {
                // a run stopped as unanswered would be queued again
                if stopping.reason == StopReason::Unanswered {
                    stopping.reason = reason;
                }
            }
            _ => self.order_stop(key, reason, now),
        }
    }

    /// Returns queued tasks that need more than the whole capacity, which may shrink.
    fn return_oversized(&mut self, capacity: Resources, now: Uptime) {
        let needs = |slot: &Slot| self.runs.get(slot.1).map(|run| self.resources_of(run));
        let is_oversized = |slot: &Slot| needs(slot).is_some_and(|needed| !needed.fits(capacity));
        let oversized: Vec<Slot> = self.queue.iter().filter(is_oversized).collect();
        for slot in oversized {
            self.queue.remove(slot);
            self.end_run(slot.1, Ending::NotRun, OVERSIZED, now);
        }
    }

    /// Returns all queued tasks to their entries.
    fn return_queued(&mut self, reason: &str, now: Uptime) {
        for (_, key) in self.queue.take_all() {
            self.end_run(key, Ending::NotRun, reason, now);
        }
    }

    /// Handles the start time of the backend server; a later one than known means
    /// a restart, which lost all runs.
    fn on_incarnation(&mut self, started_ms: u64, now: Uptime) {
        let Some(backend) = &mut self.backend else { return };
        if started_ms <= backend.started_ms {
            return;
        }
        backend.started_ms = started_ms;
        self.last_acked = 0;
        self.ended_runs.clear();
        self.no_orphans = false;
        let active: Vec<RunKey> = self.active_runs().collect();
        Event::BackendRestarted
            .note(&[("born", started_ms.into()), ("runs", (active.len() as u64).into())]);
        self.effects.push(Effect::RaiseFence);
        if !self.is_draining() {
            self.record_crash(&active, now);
        }
        for key in active {
            // a recent order may have reached the new incarnation, or may yet; it is not
            // repeated here, as it may have caused the crash
            let reason = match self.runs.get(key).map(|r| r.state) {
                Some(State::Stopping(Stopping { reason, .. }))
                    if reason != StopReason::Unanswered =>
                {
                    reason
                }
                _ => StopReason::BackendRestarted,
            };
            self.order_stop(key, reason, now);
        }
    }

    /// Records a crash of the backend server that ended these runs, and how likely each
    /// of them has caused it.
    fn record_crash(&mut self, active: &[RunKey], now: Uptime) {
        if active.is_empty() {
            return;
        }
        self.crashes += 1;
        let crashed_at = self.silent_since.unwrap_or(now);
        let runs = active.iter().filter_map(|key| self.runs.get(*key));
        // those ordered later can't have caused it
        let ages = runs.filter_map(|r| Some((&r.task.job, crashed_at.checked_sub(r.ordered_at)?)));
        let suspicions = Suspicions::new(ages);
        for key in active {
            let Some(run) = self.runs.get_mut(*key) else { continue };
            let suspicion = suspicions.of(&run.task.job);
            let proven = run.has_run && run.ordered_at <= crashed_at;
            run.crash = Some(Crash { suspicion, proven });
            Event::RunCrashed.note(&[
                ("job", (&*run.task.job).into()),
                ("index", run.task.index.into()),
                ("run", run.number.into()),
                ("age_ms", millis(crashed_at.saturating_sub(run.ordered_at)).into()),
                ("suspicion", suspicion.into()),
                ("proven", proven.into()),
            ]);
        }
    }

    fn order_stop(&mut self, key: RunKey, reason: StopReason, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.state = State::Stopping(Stopping { reason, ordered_at: now, confirmed_at: None });
        let order = StopOrder { task: run.task.clone(), run: run.number };
        self.effects.push(Effect::Stop(order));
    }

    /// Returns a task that was not accepted into the queue.
    fn reject(&mut self, key: BatchKey, task: BatchTask, reason: &str, now: Uptime) {
        let result = TaskResult {
            index: task.index,
            run: task.run,
            ending: Ending::NotRun,
            reason: reason.into(),
            run_time: Duration::ZERO,
            crash: None,
        };
        self.record_result(key, result, now);
    }

    fn end_run(&mut self, key: RunKey, ending: Ending, reason: &str, now: Uptime) {
        let Some(run) = self.runs.remove(key) else { return };
        self.run_by_task.remove(&run.task);
        let run_time = match run.state {
            State::Queued => Duration::ZERO,
            _ => now.saturating_sub(run.ordered_at),
        };
        if ending == Ending::Done && !run.progress.is_sampled {
            let estimate = self.batches.get(run.batch).map(|b| b.estimate).unwrap_or_default();
            self.observe_speed(run.ordered_at, run_time, estimate);
        }
        Event::TaskEnded.note(&[
            ("job", (&*run.task.job).into()),
            ("index", run.task.index.into()),
            ("run", run.number.into()),
            ("ending", format!("{ending:?}").as_str().into()),
            ("why", reason.into()),
            ("ran_ms", millis(run_time).into()),
        ]);
        let result = TaskResult {
            index: run.task.index,
            run: run.number,
            ending,
            reason: reason.into(),
            run_time,
            crash: run.crash,
        };
        self.record_result(run.batch, result, now);
    }

    fn record_result(&mut self, key: BatchKey, result: TaskResult, now: Uptime) {
        let Some(batch) = self.batches.get_mut(key) else { return };
        invariant!(batch.pending > 0, "more results than tasks in a batch of {}", batch.job);
        batch.pending = batch.pending.saturating_sub(1);
        if result.ending == Ending::NotRun {
            self.returned[batch.class.index()] += 1;
        }
        if batch.pending == 0 {
            batch.ended_at = Some(now);
            batch.spec = Arc::default();
        }
        let is_due = batch.pending == 0 || result.ending != Ending::Done;
        batch.results.push(result);
        if is_due {
            self.effects.push(Effect::Reply(key));
        }
    }

    fn record_success(&mut self) {
        if self.health.is_suspect() {
            Event::BackendTrusted.note(&[]);
        }
        self.health.record_success();
    }

    fn record_failure(&mut self, now: Uptime) {
        let was_suspect = self.health.is_suspect();
        self.health.record_failure(&self.settings.health, now);
        if !was_suspect && self.health.is_suspect() {
            Event::BackendSuspect.note(&[("running", (self.active_runs().count() as u64).into())]);
            self.return_queued("backend server is suspect", now);
        }
    }

    /// Why nothing new may start; `None` when it may.
    fn unready_reason(&self) -> Option<&'static str> {
        let Some(backend) = &self.backend else { return Some("no backend server yet") };
        if backend.draining {
            return Some("backend server leaves");
        }
        if self.is_stopping {
            return Some("agent stops");
        }
        if self.centre == CentreState::Drained {
            return Some(CENTRE_DRAINED);
        }
        if self.failed_listings >= MAX_FAILED_LISTINGS {
            return Some("backend server is silent");
        }
        if !self.no_orphans {
            return Some("runs of an earlier process go on");
        }
        None
    }

    /// Whether the backend server may get a task; a suspect one gets one probe
    /// at a time.
    fn is_trusted(&self, now: Uptime) -> bool {
        !self.health.is_suspect() || (self.health.may_probe(now) && self.runs.is_empty())
    }

    fn free(&self) -> Resources {
        let Some(backend) = &self.backend else { return Resources::default() };
        let used =
            self.active_runs().filter_map(|k| self.runs.get(k)).map(|r| self.resources_of(r));
        backend.capacity.minus(used.fold(Resources::default(), Resources::plus))
    }

    fn active_runs(&self) -> impl Iterator<Item = RunKey> + '_ {
        self.runs.iter().filter(|(_, r)| r.is_active()).map(|(key, _)| key)
    }

    fn runs_of(&self, batch: BatchKey) -> impl Iterator<Item = RunKey> + '_ {
        self.runs.iter().filter(move |(_, r)| r.batch == batch).map(|(key, _)| key)
    }

    fn session_of(&self, run: &Run) -> Option<SessionId> {
        self.batches.get(run.batch).map(|b| b.session)
    }

    fn resources_of(&self, run: &Run) -> Resources {
        self.batches.get(run.batch).map(|b| b.resources).unwrap_or_default()
    }
}

/// Time until which a batch is kept that was received, or sent, at `from`.
fn kept_until(from: Uptime, time_left: Duration) -> Uptime {
    from + time_left.min(MAX_KEPT_WAIT) + BATCH_RETENTION
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
