use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use base::{Event, Name, Uptime, now_ms, uptime};
use lease::{
    AdaptiveTimeout, AgentLoad, Batch, BatchKey, BatchLookup, BatchStatus, CLASSES, CentreState,
    ClassStats, CrashReport, Delivery, Effect, HealthSettings, LeaseTimings, Phase, Progress,
    RefusalReason, Scheduler, SchedulerSettings, SessionId, StartOrder, StartOutcome, StopOrder,
};
use slotmap::SecondaryMap;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{Announcement, Backend, Error, Renewal, Terms};

/// Longest wait of a listing while answers are being lost, as a lost listing hides
/// the ends of runs for as long as it may wait, and while there may be orphan runs,
/// as nothing starts before they have ended.
const SHORT_LISTING_WAIT: Duration = Duration::from_millis(20);
/// A timer that fires later than this after its time shows that the process was
/// suspended, or got no processor.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(20);
/// Time to read the answers that arrived during a suspension.
const RESUME_TIME: Duration = Duration::from_millis(20);
/// How often a cancelled batch is checked for runs.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a failed listing, since the next one may fail immediately too.
const LISTING_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time between listings that return at once because of an end that can't be read.
const ODD_LISTING_INTERVAL: Duration = Duration::from_millis(20);
/// How far a fencing token is raised above a refused one: more than the clocks
/// of two incarnations of an agent may differ.
const FENCE_STEP_MS: u64 = 20_000;
/// How long heartbeats of a backend server that has left are refused: they come over
/// other connections than the notice that it leaves, and may be handled after it. Not
/// longer, because that notice may itself be late, and of an earlier incarnation.
const DEPARTURE_PERIOD: Duration = Duration::from_secs(1);
/// Most tasks that may be queued for one backend server.
const MAX_QUEUED_TASKS: usize = 1024;

/// Executes the effects of the scheduler and feeds it the answers of the backend
/// server. Each renewal of the lease returns a listing: the state of the backend
/// server's runs.
pub struct Driver {
    scheduler: RefCell<Scheduler>,
    backend: Rc<dyn Backend>,
    timings: LeaseTimings,
    /// the backend server's clock, and the uptime when it was read
    backend_clock: Cell<Option<(Duration, Uptime)>>,
    /// fencing token of the orders sent; starts at the unix time in milliseconds
    fence: Cell<u64>,
    /// request time of the newest listing processed
    newest_listing: Cell<Uptime>,
    /// wakes `run_timer`
    wake: Notify,
    /// wake the calls that wait for progress of a batch
    notifiers: RefCell<SecondaryMap<BatchKey, Rc<Notify>>>,
    announcement: RefCell<Option<Announcement>>,
    /// announcement of another life than the newest listing shows, until one shows it
    unconfirmed: RefCell<Option<Announcement>>,
    /// start time of the life that the newest listing shows; 0 if it told none
    listed_life: Cell<Option<u64>>,
    /// state of this agent's data centre
    centre: Cell<CentreState>,
    /// when the announced backend server gave notice that it leaves
    left_at: Cell<Option<Uptime>>,
    /// whether the newest listing had ends that can't be read
    has_odd_ends: Cell<bool>,
    /// whether a listing is pending beside the polled one
    listing_requested: Cell<bool>,
    answer_timeout: Cell<AdaptiveTimeout>,
    /// whether this agent accepted work after the last change of state, and for which life
    /// of the backend server
    was_ready: Cell<(bool, u64)>,
    /// notified when that changes
    pub(crate) ready_changed: Notify,
}

impl Driver {
    pub fn new(backend: Rc<dyn Backend>, timings: LeaseTimings) -> Rc<Self> {
        let settings = SchedulerSettings {
            timings,
            health: HealthSettings::default(),
            max_queued: MAX_QUEUED_TASKS,
        };
        Rc::new(Self {
            scheduler: RefCell::new(Scheduler::new(settings)),
            backend,
            timings,
            backend_clock: Cell::new(None),
            fence: Cell::new(now_ms()),
            newest_listing: Cell::new(Uptime::ZERO),
            wake: Notify::new(),
            notifiers: RefCell::default(),
            announcement: RefCell::new(None),
            unconfirmed: RefCell::new(None),
            listed_life: Cell::default(),
            centre: Cell::default(),
            left_at: Cell::default(),
            has_odd_ends: Cell::default(),
            listing_requested: Cell::new(false),
            answer_timeout: Cell::default(),
            was_ready: Cell::default(),
            ready_changed: Notify::new(),
        })
    }

    /// Starts the background loops, which run for as long as the process does.
    pub fn start(self: &Rc<Self>) {
        actix::spawn(self.clone().run_timer());
        actix::spawn(self.clone().poll_listings());
    }

    pub fn timings(&self) -> LeaseTimings {
        self.timings
    }

    /// Handles an announcement of the backend server; returns false if it is of
    /// an earlier incarnation, older than the last one, or of one that has just left.
    /// Others than the backend server may send one, so it counts only once a listing shows
    /// the life that it is of.
    pub fn on_announcement(self: &Rc<Self>, announcement: Announcement) -> bool {
        if self.is_outdated(&announcement) {
            return false;
        }
        if self.listed_life.get().is_some_and(|life| life == announcement.started_ms || life == 0) {
            self.apply_announcement(announcement);
        } else {
            *self.unconfirmed.borrow_mut() = Some(announcement);
            self.check_life();
        }
        true
    }

    fn apply_announcement(self: &Rc<Self>, announcement: Announcement) {
        self.backend.set_instance(Some(&announcement.id));
        let (started_ms, capacity) = (announcement.started_ms, announcement.capacity);
        let phase = Phase {
            draining: announcement.draining,
            remaining: announcement.remaining,
            cold_remaining: announcement.cold_remaining,
        };
        *self.announcement.borrow_mut() = Some(announcement);
        self.left_at.set(None);
        self.with_scheduler(|scheduler, now| {
            scheduler.on_announcement(started_ms, capacity, phase, now)
        });
    }

    /// Sets the state of this agent's data centre.
    pub fn set_centre_state(self: &Rc<Self>, state: CentreState) {
        if self.centre.replace(state) != state {
            self.with_scheduler(|scheduler, now| scheduler.set_centre_state(state, now));
        }
    }

    /// State of this agent's data centre.
    pub fn centre(&self) -> CentreState {
        self.centre.get()
    }

    /// Handles the announced exit of the backend server with this id.
    pub fn on_departure(self: &Rc<Self>, id: &str) {
        self.unconfirmed.borrow_mut().take_if(|a| &*a.id == id);
        let known = self.announcement.borrow().as_ref().is_some_and(|a| &*a.id == id);
        if known {
            self.left_at.set(Some(uptime()));
            self.with_scheduler(|scheduler, now| scheduler.on_backend_exit(now));
        }
    }

    /// Kind and rack of the backend server; empty until its current life has announced
    /// itself.
    pub fn labels(&self) -> Vec<Name> {
        let (announcement, life) = (self.announcement.borrow(), self.life());
        let current = announcement.as_ref().filter(|a| a.started_ms == life);
        current.map(|a| a.labels.clone()).unwrap_or_default()
    }

    /// Start time of the life of the backend server that has announced itself, Unix
    /// milliseconds; 0 if it hasn't.
    pub fn life(&self) -> u64 {
        self.scheduler.borrow().announced_life()
    }

    pub fn load(&self) -> AgentLoad {
        self.scheduler.borrow().load(uptime())
    }

    /// Whether this agent accepts work.
    pub fn is_ready(&self) -> bool {
        self.scheduler.borrow().is_ready(uptime())
    }

    /// Number of queued tasks and of runs on the backend server.
    pub fn counts(&self) -> (usize, usize) {
        self.scheduler.borrow().counts()
    }

    /// Figures of each class of tasks.
    pub fn class_stats(&self) -> [ClassStats; CLASSES] {
        self.scheduler.borrow().class_stats()
    }

    /// Whether the backend server drains, and whether it is slow after its start.
    pub fn backend_phase(&self) -> (bool, bool) {
        let scheduler = self.scheduler.borrow();
        (scheduler.is_draining(), scheduler.is_cold(uptime()))
    }

    /// Number of runs stopped because the backend server exits before they can end.
    pub fn cut_short(&self) -> u64 {
        self.scheduler.borrow().cut_short()
    }

    /// A recent crash of the backend server.
    pub fn crash_report(&self) -> Option<CrashReport> {
        self.scheduler.borrow().crash_report(uptime()).cloned()
    }

    /// Number of crashes of the backend server that ended runs.
    pub fn crashes(&self) -> u64 {
        self.scheduler.borrow().crashes()
    }

    /// Extends the session of an entry that is known to have been alive at `at`.
    pub fn extend_session(self: &Rc<Self>, session: SessionId, name: &Name, at: Uptime) {
        let now = uptime();
        // a time in the future would extend the session too far
        self.scheduler.borrow_mut().extend_session(session, name, at.min(now), now);
    }

    /// Sets the data centre of an entry, if it has a session.
    pub fn set_centre(&self, session: SessionId, centre: &Name) {
        self.scheduler.borrow_mut().set_centre(session, centre);
    }

    /// Closes the session of an entry that doesn't need this agent and has no open work.
    pub fn close_session(&self, session: SessionId) {
        self.scheduler.borrow_mut().close_session(session);
    }

    /// Whether any task of an entry is queued or running.
    pub fn has_open_work(&self, session: SessionId) -> bool {
        self.scheduler.borrow().has_open_work(session)
    }

    pub fn last_seen(&self, session: SessionId) -> Option<Uptime> {
        self.scheduler.borrow().last_seen(session)
    }

    /// Queues a batch, and waits until there is progress to report.
    pub async fn place(self: &Rc<Self>, session: SessionId, batch: Batch) -> BatchStatus {
        let key = self.with_scheduler(|scheduler, now| scheduler.place(session, batch, now));
        self.wait_status(key, 0).await
    }

    /// Returns all tasks of a batch at once.
    pub async fn decline(
        self: &Rc<Self>,
        session: SessionId,
        batch: Batch,
        reason: &'static str,
    ) -> BatchStatus {
        let key =
            self.with_scheduler(|scheduler, now| scheduler.decline(session, batch, reason, now));
        self.wait_status(key, 0).await
    }

    /// Waits until there is more progress of a batch than the first `after` results.
    /// The batch was sent at `sent_at` or later, on this agent's clock, for a caller
    /// who waited for `time_left` from then on.
    pub async fn follow(
        self: &Rc<Self>,
        session: SessionId,
        number: u64,
        after: usize,
        sent_at: Uptime,
        time_left: Duration,
    ) -> BatchStatus {
        let lookup =
            self.scheduler.borrow_mut().look_up(session, number, sent_at, time_left, uptime());
        match lookup {
            BatchLookup::Known(key) => self.wait_status(key, after).await,
            BatchLookup::NeverReceived => BatchStatus::NeverReceived,
            BatchLookup::Forgotten => BatchStatus::Forgotten,
        }
    }

    /// Cancels a batch, and waits until nothing of it runs.
    pub async fn cancel_batch(self: &Rc<Self>, session: SessionId, number: u64) -> BatchStatus {
        let Some(key) = self.scheduler.borrow().find(session, number) else {
            self.scheduler.borrow_mut().bar(session, number, uptime());
            return BatchStatus::Forgotten;
        };
        self.with_scheduler(|scheduler, now| scheduler.cancel_batch(key, now));
        loop {
            let status = self.wait_status(key, 0).await;
            if !matches!(&status, BatchStatus::Progress(p) if p.pending > 0) {
                return status;
            }
            sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Takes no new tasks and waits up to `limit` for the runs to end; then stops
    /// those that are left.
    pub async fn shut_down(self: &Rc<Self>, limit: Duration) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        const STOP_TIMEOUT: Duration = Duration::from_millis(400);
        self.with_scheduler(|scheduler, now| scheduler.drain(now));
        let end = uptime() + limit;
        while self.scheduler.borrow().is_busy() && uptime() < end {
            sleep(POLL_INTERVAL).await;
        }
        self.with_scheduler(|scheduler, now| scheduler.stop_all(now));
        let end = uptime() + STOP_TIMEOUT;
        while self.scheduler.borrow().is_busy() && uptime() < end {
            sleep(POLL_INTERVAL).await;
        }
    }

    fn is_outdated(&self, new: &Announcement) -> bool {
        let (known, unconfirmed) = (self.announcement.borrow(), self.unconfirmed.borrow());
        let listed = self.listed_life.get().filter(|life| *life > 0);
        let life = listed.or_else(|| known.as_ref().map(|k| k.started_ms));
        if life.is_some_and(|life| new.started_ms < life) {
            return true;
        }
        let is_older = |a: &Announcement| {
            new.id == a.id && new.started_ms == a.started_ms && new.sequence <= a.sequence
        };
        let has_left = || {
            let of_known = |k: &Announcement| new.id == k.id && new.started_ms == k.started_ms;
            let recently = self.left_at.get().is_some_and(|at| uptime() < at + DEPARTURE_PERIOD);
            recently && known.as_ref().is_some_and(of_known)
        };
        known.as_ref().is_some_and(is_older)
            || unconfirmed.as_ref().is_some_and(is_older)
            || has_left()
    }

    /// Finds out which life of the backend server answers; nothing starts before that.
    fn check_life(self: &Rc<Self>) {
        self.doubt_life();
        self.request_listing();
    }

    fn doubt_life(&self) {
        self.backend.set_instance(None);
        // the clock of another life begins anew
        self.backend_clock.set(None);
        self.scheduler.borrow_mut().doubt_life();
    }

    /// Handles the start time in a listing: an announcement of that life counts from now on.
    fn on_listed_life(self: &Rc<Self>, life: u64) {
        self.listed_life.set(Some(life));
        let is_listed = |a: &mut Announcement| life == 0 || a.started_ms == life;
        let confirmed = self.unconfirmed.borrow_mut().take_if(is_listed);
        if let Some(announcement) = confirmed {
            return self.apply_announcement(announcement);
        }
        let known = self.announcement.borrow();
        if let Some(known) = known.as_ref().filter(|k| life == 0 || k.started_ms == life) {
            self.backend.set_instance(Some(&known.id));
        }
    }

    async fn wait_status(self: &Rc<Self>, key: BatchKey, after: usize) -> BatchStatus {
        let progress = self.wait_progress(key, after).await;
        progress.map_or(BatchStatus::Forgotten, BatchStatus::Progress)
    }

    async fn wait_progress(self: &Rc<Self>, key: BatchKey, after: usize) -> Option<Progress> {
        loop {
            let notifier = {
                let mut notifiers = self.notifiers.borrow_mut();
                notifiers.entry(key)?.or_default().clone()
            };
            // registered before the check, so that no change is missed in between
            let notified = notifier.notified();
            if let Some(progress) = self.scheduler.borrow().progress(key, after, uptime()) {
                return Some(progress);
            }
            notified.await;
        }
    }

    fn with_scheduler<T>(self: &Rc<Self>, call: impl FnOnce(&mut Scheduler, Uptime) -> T) -> T {
        let result = call(&mut self.scheduler.borrow_mut(), uptime());
        self.apply_effects();
        self.wake.notify_one();
        result
    }

    fn apply_effects(self: &Rc<Self>) {
        let ready = (self.is_ready(), self.life());
        if self.was_ready.replace(ready) != ready {
            self.ready_changed.notify_waiters();
        }
        let effects = self.scheduler.borrow_mut().take_effects();
        for effect in effects {
            match effect {
                Effect::Start(order) => drop(actix::spawn(self.clone().start_run(order))),
                Effect::Stop(order) => drop(actix::spawn(self.clone().stop_run(order))),
                Effect::RefreshListing => self.request_listing(),
                Effect::RaiseFence => {
                    self.raise_fence();
                    self.request_listing();
                }
                Effect::Reply(key) => self.notify_progress(key),
            }
        }
    }

    fn notify_progress(&self, key: BatchKey) {
        if let Some(notifier) = self.notifiers.borrow().get(key) {
            notifier.notify_waiters();
        }
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            let now = uptime();
            self.scheduler.borrow_mut().tick(now);
            self.apply_effects();
            let due = self.scheduler.borrow().next_due(now).saturating_sub(uptime());
            // until the next timer is due or the scheduler's state changes
            let _ = timeout(due, self.wake.notified()).await;
        }
    }

    async fn poll_listings(self: Rc<Self>) {
        loop {
            if !self.renew_lease(self.listing_wait()).await {
                sleep(LISTING_RETRY_INTERVAL).await;
            } else if self.has_odd_ends.get() {
                sleep(ODD_LISTING_INTERVAL).await;
            }
        }
    }

    /// How long a listing may wait for the end of a run.
    fn listing_wait(&self) -> Duration {
        let scheduler = self.scheduler.borrow();
        if self.answer_timeout.get().has_recent_timeout(uptime()) || scheduler.may_have_orphans() {
            return SHORT_LISTING_WAIT;
        }
        match scheduler.is_busy() {
            true => self.timings.renewal_interval(),
            false => self.timings.idle_renewal_interval(),
        }
    }

    /// Requests a listing at once, beside the one that waits for changes.
    fn request_listing(self: &Rc<Self>) {
        if self.listing_requested.replace(true) {
            return;
        }
        let this = self.clone();
        actix::spawn(async move {
            this.renew_lease(Duration::ZERO).await;
            this.listing_requested.set(false);
        });
    }

    /// Renews the lease of all runs and processes the returned listing. Returns false
    /// if the call failed, other than by a refused fencing token.
    async fn renew_lease(self: &Rc<Self>, wait: Duration) -> bool {
        let requested_at = uptime();
        let lease = self.scheduler.borrow_mut().renew_lease(requested_at);
        let lease_end = lease.and_then(|end| self.to_backend_clock(end));
        let fence = self.fence.get();
        let renewal =
            Renewal { lease_end, fence, acked: self.scheduler.borrow().last_acked(), wait };
        let backend = self.backend.clone();
        let reply = self.await_answer(wait, async move { backend.renew(renewal).await }).await;
        if let Some(end) = lease {
            self.scheduler.borrow_mut().settle_lease(end, delivery(&reply));
        }
        match reply {
            Ok(reply) => {
                // a listing requested before the newest one is outdated
                if requested_at >= self.newest_listing.get() {
                    self.newest_listing.set(requested_at);
                    self.has_odd_ends.set(reply.has_odd_ends);
                    self.record_clock(reply.clock);
                    let listing = lease::Listing { requested_at, ..reply.listing };
                    self.with_scheduler(|scheduler, now| scheduler.on_listing(&listing, now));
                    self.on_listed_life(listing.started_ms);
                }
                true
            }
            Err(Error::Refused { reason: RefusalReason::Fenced, .. }) => {
                self.on_fence_refused(fence);
                true
            }
            Err(e) => {
                // the backend server may have restarted: its next incarnation must
                // refuse the earlier orders even before the restart is known
                self.raise_fence();
                let is_restart = may_be_restart(&e);
                if is_restart {
                    self.doubt_life();
                }
                self.with_scheduler(|scheduler, now| match e {
                    Error::NotListening(_) => scheduler.on_not_listening(now),
                    _ => scheduler.on_listing_failed(now),
                });
                if is_restart && !matches!(e, Error::NotListening(_)) {
                    self.request_listing();
                }
                false
            }
        }
    }

    async fn start_run(self: Rc<Self>, order: StartOrder) {
        let lease = self.scheduler.borrow_mut().lease_for_start(order.key, uptime());
        let sendable = lease.and_then(|end| Some((end, self.to_backend_clock(end)?)));
        let Some((lease, lease_end)) = sendable else {
            // no order can be sent without a lease or the backend server's clock
            if let Some(end) = lease {
                self.scheduler.borrow_mut().settle_lease(end, Delivery::Failed);
            }
            return self.with_scheduler(|scheduler, now| {
                scheduler.on_start_outcome(
                    order.key,
                    StartOutcome::Rejected(RefusalReason::Late),
                    now,
                );
            });
        };
        let terms = Terms { lease_end, fence: self.fence.get() };
        let (backend, key) = (self.backend.clone(), order.key);
        let call = async move { backend.start(&order, terms).await };
        let answer = self.await_answer(Duration::ZERO, call).await;
        self.scheduler.borrow_mut().settle_lease(lease, delivery(&answer));
        let outcome = match answer {
            Ok(clock) => {
                self.record_clock(clock);
                StartOutcome::Accepted
            }
            Err(Error::Refused { reason, clock }) => {
                if let Some(clock) = clock {
                    self.record_clock(clock);
                }
                match reason {
                    RefusalReason::Fenced => self.on_fence_refused(terms.fence),
                    RefusalReason::OtherLife => self.check_life(),
                    _ => {}
                }
                StartOutcome::Rejected(reason)
            }
            Err(Error::Unreachable(_) | Error::NotListening(_)) => {
                StartOutcome::Rejected(RefusalReason::Busy)
            }
            Err(Error::Indeterminate(_) | Error::Disconnected(_)) => StartOutcome::Indeterminate,
        };
        self.with_scheduler(|scheduler, now| scheduler.on_start_outcome(key, outcome, now));
    }

    async fn stop_run(self: Rc<Self>, order: StopOrder) {
        let (backend, fence) = (self.backend.clone(), self.fence.get());
        let sent = order.clone();
        let call = async move { backend.stop(&sent, fence).await };
        match self.await_answer(Duration::ZERO, call).await {
            Ok(()) => {
                self.with_scheduler(|scheduler, now| scheduler.on_stop_confirmed(&order, now))
            }
            Err(Error::Refused { reason: RefusalReason::Fenced, .. }) => {
                self.on_fence_refused(fence)
            }
            Err(Error::Refused { reason: RefusalReason::OtherLife, .. }) => self.check_life(),
            // the scheduler repeats the order
            Err(_) => {}
        }
    }

    /// Waits for an answer that the backend server may hold back for `wait`, with
    /// a timeout adapted to the usual response times.
    async fn await_answer<T: 'static>(
        self: &Rc<Self>,
        wait: Duration,
        call: impl Future<Output = crate::Result<T>> + 'static,
    ) -> crate::Result<T> {
        // keeps running after the timeout: a late answer still shows the response time
        let mut measured = actix::spawn(self.clone().measure(wait, call));
        let limit = wait + self.answer_timeout.get().limit();
        match timeout_awake(limit, &mut measured).await {
            Some(Ok(answer)) => answer,
            Some(Err(e)) => Err(Error::Indeterminate(e.to_string())),
            None => {
                self.update_timeout(|t| t.record_timeout(uptime()));
                Err(Error::Indeterminate(format!("none within {} ms", limit.as_millis())))
            }
        }
    }

    /// Makes a call and records its response time, unless the answer may have been
    /// held back.
    async fn measure<T>(
        self: Rc<Self>,
        wait: Duration,
        call: impl Future<Output = crate::Result<T>>,
    ) -> crate::Result<T> {
        let requested_at = uptime();
        let late = Error::Indeterminate("no answer in time".to_owned());
        let answer = timeout_awake(wait + AdaptiveTimeout::MAX_MEASURED, pin!(call)).await;
        let answer = answer.unwrap_or(Err(late));
        let elapsed = uptime().saturating_sub(requested_at);
        // a longer time includes a suspension of this process
        let is_measured = wait.is_zero() && elapsed <= AdaptiveTimeout::MAX_MEASURED;
        if is_measured && !matches!(answer, Err(Error::Indeterminate(_) | Error::Disconnected(_))) {
            self.update_timeout(|t| t.record_answer(elapsed));
        }
        answer
    }

    fn update_timeout(&self, change: impl FnOnce(&mut AdaptiveTimeout)) {
        let mut answer_timeout = self.answer_timeout.get();
        change(&mut answer_timeout);
        self.answer_timeout.set(answer_timeout);
    }

    /// Makes the backend server refuse earlier orders that arrive after a later one.
    fn raise_fence(&self) {
        self.fence.set(self.fence.get() + 1);
    }

    /// Handles a refused fencing token: another incarnation of this agent has used
    /// a higher one, unless this one has raised its own in the meantime.
    fn on_fence_refused(&self, refused: u64) {
        if refused < self.fence.get() {
            return;
        }
        let raised = refused + FENCE_STEP_MS;
        self.fence.set(raised);
        Event::FenceRaised.note(&[("fence", raised.into())]);
    }

    /// Records the backend server's clock. It was read before now, so that a
    /// converted time is early at worst.
    fn record_clock(&self, clock: Duration) {
        self.backend_clock.set(Some((clock, uptime())));
    }

    /// Converts a time to the backend server's clock; `None` if it was before the
    /// last reading of that clock, or there is none.
    fn to_backend_clock(&self, time: Uptime) -> Option<Duration> {
        let (clock, read_at) = self.backend_clock.get()?;
        Some(clock + time.checked_sub(read_at)?)
    }
}

/// Whether a call with this outcome may have reached the backend server.
fn delivery<T>(outcome: &crate::Result<T>) -> Delivery {
    match outcome {
        Err(Error::Unreachable(_) | Error::NotListening(_)) => Delivery::Failed,
        _ => Delivery::Possible,
    }
}

/// Whether another life of the backend server may have begun before this failure of a call.
fn may_be_restart(e: &Error) -> bool {
    matches!(
        e,
        Error::NotListening(_)
            | Error::Disconnected(_)
            | Error::Refused { reason: RefusalReason::OtherLife, .. }
    )
}

/// Waits for an answer up to `limit`, and a little longer if the process was suspended
/// meanwhile: the timer then fires before an answer that has arrived can be read.
async fn timeout_awake<T>(
    limit: Duration,
    mut answer: impl Future<Output = T> + Unpin,
) -> Option<T> {
    let end = uptime() + limit;
    if let Ok(answer) = timeout(limit, &mut answer).await {
        return Some(answer);
    }
    if uptime() <= end + MAX_TIMER_DELAY {
        return None;
    }
    timeout(RESUME_TIME, answer).await.ok()
}
