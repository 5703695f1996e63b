use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use base::{Event, Name, Uptime, now_ms, uptime};
use lease::{
    AdaptiveTimeout, AgentLoad, Batch, BatchKey, Effect, HealthSettings, LeaseTimings, Progress,
    RefusalReason, Scheduler, SchedulerSettings, SessionId, StartOrder, StartOutcome, StopOrder,
};
use slotmap::SecondaryMap;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{Announcement, Backend, Error, Renewal, Terms};

/// Wait of a listing while answers go missing: a lost one hides ends for so long.
const SHORT_LISTING_WAIT: Duration = Duration::from_millis(20);
/// Pause before a batch that is given up is looked at again.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a listing that failed at once.
const LISTING_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How far a fencing token is raised above what was refused, milliseconds:
/// more than clocks of two lives of an agent may differ.
const FENCE_STEP_MS: u64 = 20_000;
/// Most tasks that wait for one backend server.
const MAX_QUEUED_TASKS: usize = 1024;

/// Carries out what the book decides.
pub struct Driver {
    scheduler: RefCell<Scheduler>,
    backend: Rc<dyn Backend>,
    chain: LeaseTimings,
    /// the backend server's clock, and when it was read on ours
    clock: Cell<Option<(Duration, Uptime)>>,
    fence: Cell<u64>,
    /// newest listing that was looked at
    newest_listing: Cell<Uptime>,
    wake: Notify,
    notifiers: RefCell<SecondaryMap<BatchKey, Rc<Notify>>>,
    announcement: RefCell<Option<Announcement>>,
    listing_requested: Cell<bool>,
    answer_timeout: Cell<AdaptiveTimeout>,
}

impl Driver {
    pub fn new(backend: Rc<dyn Backend>, chain: LeaseTimings) -> Rc<Self> {
        let settings = SchedulerSettings {
            timings: chain,
            health: HealthSettings::default(),
            max_queued: MAX_QUEUED_TASKS,
        };
        Rc::new(Self {
            scheduler: RefCell::new(Scheduler::new(settings)),
            backend,
            chain,
            clock: Cell::new(None),
            fence: Cell::new(now_ms()),
            newest_listing: Cell::new(Uptime::ZERO),
            wake: Notify::new(),
            notifiers: RefCell::default(),
            announcement: RefCell::new(None),
            listing_requested: Cell::new(false),
            answer_timeout: Cell::default(),
        })
    }

    /// Works for as long as the process runs.
    pub fn start(self: &Rc<Self>) {
        actix::spawn(self.clone().run_timer());
        actix::spawn(self.clone().poll_listings());
    }

    pub fn chain(&self) -> LeaseTimings {
        self.chain
    }

    /// The backend server said what it is; false for word of an earlier life
    /// or older than what is known.
    pub fn on_announcement(self: &Rc<Self>, it: Announcement) -> bool {
        if self.is_outdated(&it) {
            return false;
        }
        self.backend.set_instance(&it.id);
        let (born, capacity, draining) = (it.started_ms, it.capacity, it.draining);
        *self.announcement.borrow_mut() = Some(it);
        self.with_scheduler(|book, now| book.on_announcement(born, capacity, draining, now));
        true
    }

    /// The backend server with this id ends.
    pub fn on_departure(self: &Rc<Self>, id: &str) {
        let known = self.announcement.borrow().as_ref().is_some_and(|a| &*a.id == id);
        if known {
            self.with_scheduler(|book, now| book.on_backend_exit(now));
        }
    }

    /// Kind and rack of the backend server.
    pub fn labels(&self) -> Vec<Name> {
        self.announcement.borrow().as_ref().map(|a| a.labels.clone()).unwrap_or_default()
    }

    pub fn load(&self) -> AgentLoad {
        self.scheduler.borrow().load(uptime())
    }

    /// Tasks that wait, and runs on the backend server.
    pub fn counts(&self) -> (usize, usize) {
        self.scheduler.borrow().counts()
    }

    /// An entry is known to have lived at some time.
    pub fn extend_session(self: &Rc<Self>, session: SessionId, name: &Name, at: Uptime) {
        let now = uptime();
        // nobody was heard in the future
        self.scheduler.borrow_mut().extend_session(session, name, at.min(now), now);
    }

    /// An entry doesn't need this agent, and nothing of it is open.
    pub fn close_session(&self, session: SessionId) {
        self.scheduler.borrow_mut().close_session(session);
    }

    /// Whether anything of an entry is open.
    pub fn is_open(&self, session: SessionId) -> bool {
        self.scheduler.borrow().has_open_work(session)
    }

    pub fn last_heard(&self, session: SessionId) -> Option<Uptime> {
        self.scheduler.borrow().last_seen(session)
    }

    /// Takes tasks, and waits until there is something to say about them.
    pub async fn place(self: &Rc<Self>, session: SessionId, batch: Batch) -> Option<Progress> {
        let key = self.with_scheduler(|book, now| book.place(session, batch, now));
        self.wait_progress(key, 0).await
    }

    /// Waits until there is more to say about a batch.
    pub async fn follow(
        self: &Rc<Self>,
        session: SessionId,
        number: u64,
        after: usize,
    ) -> Option<Progress> {
        let key = self.scheduler.borrow().find(session, number)?;
        self.wait_progress(key, after).await
    }

    /// Gives a batch up, and waits until nothing of it runs.
    pub async fn cancel_batch(
        self: &Rc<Self>,
        session: SessionId,
        number: u64,
    ) -> Option<Progress> {
        let key = self.scheduler.borrow().find(session, number)?;
        self.with_scheduler(|book, now| book.cancel_batch(key, now));
        loop {
            let progress = self.wait_progress(key, 0).await?;
            if progress.pending == 0 {
                return Some(progress);
            }
            sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Takes nothing new, and waits until nothing runs or the time is up;
    /// then what still runs is stopped.
    pub async fn shut_down(self: &Rc<Self>, limit: Duration) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        const STOP_TIMEOUT: Duration = Duration::from_millis(400);
        self.with_scheduler(|book, now| book.drain(now));
        let end = uptime() + limit;
        while self.scheduler.borrow().is_busy() && uptime() < end {
            sleep(POLL_INTERVAL).await;
        }
        self.with_scheduler(|book, now| book.stop_all(now));
        let end = uptime() + STOP_TIMEOUT;
        while self.scheduler.borrow().is_busy() && uptime() < end {
            sleep(POLL_INTERVAL).await;
        }
    }

    fn is_outdated(&self, it: &Announcement) -> bool {
        let known = self.announcement.borrow();
        let Some(known) = known.as_ref() else { return false };
        if it.id == known.id && it.started_ms == known.started_ms {
            return it.sequence <= known.sequence;
        }
        it.started_ms < known.started_ms
    }

    async fn wait_progress(self: &Rc<Self>, key: BatchKey, after: usize) -> Option<Progress> {
        loop {
            let due = {
                let mut replies = self.notifiers.borrow_mut();
                replies.entry(key)?.or_default().clone()
            };
            let told = due.notified();
            if let Some(progress) = self.scheduler.borrow().progress(key, after, uptime()) {
                return Some(progress);
            }
            told.await;
        }
    }

    fn with_scheduler<T>(self: &Rc<Self>, call: impl FnOnce(&mut Scheduler, Uptime) -> T) -> T {
        let result = call(&mut self.scheduler.borrow_mut(), uptime());
        self.apply_effects();
        self.wake.notify_one();
        result
    }

    fn apply_effects(self: &Rc<Self>) {
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
        if let Some(due) = self.notifiers.borrow().get(key) {
            due.notify_waiters();
        }
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            let now = uptime();
            self.scheduler.borrow_mut().tick(now);
            self.apply_effects();
            let due = self.scheduler.borrow().next_due(now).saturating_sub(uptime());
            // news or the time that is due, whichever is first
            let _ = timeout(due, self.wake.notified()).await;
        }
    }

    async fn poll_listings(self: Rc<Self>) {
        loop {
            let trouble = self.answer_timeout.get().has_recent_timeout(uptime());
            let wait = if trouble { SHORT_LISTING_WAIT } else { self.chain.renewal_interval() };
            if !self.renew_lease(wait).await {
                sleep(LISTING_RETRY_INTERVAL).await;
            }
        }
    }

    /// Asks for a listing beside the one that waits for news.
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

    /// Renews the lease and takes note of the listing; false when there was none.
    async fn renew_lease(self: &Rc<Self>, wait: Duration) -> bool {
        let asked = uptime();
        let until = self
            .scheduler
            .borrow_mut()
            .renew_lease(asked)
            .and_then(|until| self.to_backend_clock(until));
        let fence = self.fence.get();
        let hold =
            Renewal { lease_end: until, fence, acked: self.scheduler.borrow().last_acked(), wait };
        let backend = self.backend.clone();
        let held = self.await_answer(wait, async move { backend.renew(hold).await }).await;
        match held {
            Ok(held) => {
                self.record_clock(held.clock);
                // an older listing that was overtaken tells nothing new
                if asked >= self.newest_listing.get() {
                    self.newest_listing.set(asked);
                    let listing = lease::Listing { requested_at: asked, ..held.listing };
                    self.with_scheduler(|book, now| book.on_listing(&listing, now));
                }
                true
            }
            Err(Error::Refused { why: RefusalReason::Fenced, .. }) => {
                self.on_fence_refused(fence);
                true
            }
            Err(_) => {
                // it may have started anew: its next life must refuse what was
                // ordered so far, before it is known to be another
                self.raise_fence();
                self.with_scheduler(|book, now| book.on_listing_failed(now));
                false
            }
        }
    }

    async fn start_run(self: Rc<Self>, order: StartOrder) {
        let until = self.scheduler.borrow_mut().lease_for_start(order.key, uptime());
        let Some(until) = until.and_then(|until| self.to_backend_clock(until)) else {
            // without a lease, or the backend server's clock, nothing can be ordered
            return self.with_scheduler(|book, now| {
                book.on_start_outcome(order.key, StartOutcome::Rejected(RefusalReason::Late), now);
            });
        };
        let terms = Terms { lease_end: until, fence: self.fence.get() };
        let (backend, key) = (self.backend.clone(), order.key);
        let call = async move { backend.start(&order, terms).await };
        let started = match self.await_answer(Duration::ZERO, call).await {
            Ok(clock) => {
                self.record_clock(clock);
                StartOutcome::Accepted
            }
            Err(Error::Refused { why, clock }) => {
                if let Some(clock) = clock {
                    self.record_clock(clock);
                }
                if why == RefusalReason::Fenced {
                    self.on_fence_refused(terms.fence);
                }
                StartOutcome::Rejected(why)
            }
            Err(Error::Unreachable(_)) => StartOutcome::Rejected(RefusalReason::Busy),
            Err(Error::Indeterminate(_)) => StartOutcome::Indeterminate,
        };
        self.with_scheduler(|book, now| book.on_start_outcome(key, started, now));
    }

    async fn stop_run(self: Rc<Self>, order: StopOrder) {
        let (backend, fence) = (self.backend.clone(), self.fence.get());
        let sent = order.clone();
        let call = async move { backend.stop(&sent, fence).await };
        match self.await_answer(Duration::ZERO, call).await {
            Ok(()) => self.with_scheduler(|book, now| book.on_stop_confirmed(&order, now)),
            Err(Error::Refused { why: RefusalReason::Fenced, .. }) => self.on_fence_refused(fence),
            // the book orders it again
            Err(_) => {}
        }
    }

    /// Waits for an answer that may come after `wait`, no longer than is usual.
    async fn await_answer<T: 'static>(
        self: &Rc<Self>,
        wait: Duration,
        call: impl Future<Output = crate::Result<T>> + 'static,
    ) -> crate::Result<T> {
        // goes on when the answer is given up: a late one tells how long they take
        let mut timed = actix::spawn(self.clone().measure(wait, call));
        let limit = wait + self.answer_timeout.get().limit();
        match timeout(limit, &mut timed).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => Err(Error::Indeterminate(e.to_string())),
            Err(_) => {
                self.update_timeout(|p| p.record_timeout(uptime()));
                Err(Error::Indeterminate(format!("none within {} ms", limit.as_millis())))
            }
        }
    }

    async fn measure<T>(
        self: Rc<Self>,
        wait: Duration,
        call: impl Future<Output = crate::Result<T>>,
    ) -> crate::Result<T> {
        let asked = uptime();
        let late = Error::Indeterminate("no answer in time".to_owned());
        let answer = timeout(wait + AdaptiveTimeout::MAX_MEASURED, call).await.unwrap_or(Err(late));
        if wait.is_zero() && !matches!(answer, Err(Error::Indeterminate(_))) {
            self.update_timeout(|p| p.record_answer(uptime().saturating_sub(asked)));
        }
        answer
    }

    fn update_timeout(&self, change: impl FnOnce(&mut AdaptiveTimeout)) {
        let mut patience = self.answer_timeout.get();
        change(&mut patience);
        self.answer_timeout.set(patience);
    }

    /// Voids what was ordered so far, where it comes after an order from now on.
    fn raise_fence(&self) {
        self.fence.set(self.fence.get() + 1);
    }

    /// A token was refused: another life of this agent gave orders under a
    /// higher one, unless this one has raised it since.
    fn on_fence_refused(&self, refused: u64) {
        if refused < self.fence.get() {
            return;
        }
        let raised = refused + FENCE_STEP_MS;
        self.fence.set(raised);
        Event::FenceRaised.note(&[("fence", raised.into())]);
    }

    /// Notes their clock. It was read no later than now, so that a time of
    /// ours turned into theirs comes out early at worst.
    fn record_clock(&self, clock: Duration) {
        self.clock.set(Some((clock, uptime())));
    }

    /// A time of ours on the backend server's clock; `None` when it has passed
    /// or their clock isn't known.
    fn to_backend_clock(&self, time: Uptime) -> Option<Duration> {
        let (clock, read) = self.clock.get()?;
        Some(clock + time.checked_sub(read)?)
    }
}
