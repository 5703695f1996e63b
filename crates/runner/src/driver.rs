use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use base::{Event, Name, Uptime, now_ms, uptime};
use lease::{
    Batch, BatchKey, Book, BookSettings, Chain, Effect, HealthSettings, Patience, Progress,
    Refused, SessionId, Space, StartOrder, Started, StopOrder,
};
use slotmap::SecondaryMap;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{Announcement, Backend, Error, Renewal, Terms};

/// Wait of a listing while answers go missing: a lost one hides ends for so long.
const BRISK: Duration = Duration::from_millis(20);
/// Pause before a batch that is given up is looked at again.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Pause after a listing that failed at once.
const LISTING_PAUSE: Duration = Duration::from_millis(50);
/// How far a fencing token is raised above what was refused, milliseconds:
/// more than clocks of two lives of an agent may differ.
const FENCE_STEP: u64 = 20_000;
/// Most tasks that wait for one backend server.
const MAX_QUEUED: usize = 1024;

/// Carries out what the book decides.
pub struct Driver {
    book: RefCell<Book>,
    backend: Rc<dyn Backend>,
    chain: Chain,
    /// the backend server's clock, and when it was read on ours
    clock: Cell<Option<(Duration, Uptime)>>,
    fence: Cell<u64>,
    /// newest listing that was looked at
    newest: Cell<Uptime>,
    wake: Notify,
    replies: RefCell<SecondaryMap<BatchKey, Rc<Notify>>>,
    announced: RefCell<Option<Announcement>>,
    looking: Cell<bool>,
    patience: Cell<Patience>,
}

impl Driver {
    pub fn new(backend: Rc<dyn Backend>, chain: Chain) -> Rc<Self> {
        let settings = BookSettings { chain, health: HealthSettings::default(), queue: MAX_QUEUED };
        Rc::new(Self {
            book: RefCell::new(Book::new(settings)),
            backend,
            chain,
            clock: Cell::new(None),
            fence: Cell::new(now_ms()),
            newest: Cell::new(Uptime::ZERO),
            wake: Notify::new(),
            replies: RefCell::default(),
            announced: RefCell::new(None),
            looking: Cell::new(false),
            patience: Cell::default(),
        })
    }

    /// Works for as long as the process runs.
    pub fn start(self: &Rc<Self>) {
        actix::spawn(self.clone().keep_time());
        actix::spawn(self.clone().keep_listing());
    }

    pub fn chain(&self) -> Chain {
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
        *self.announced.borrow_mut() = Some(it);
        self.with_book(|book, now| book.announced(born, capacity, draining, now));
        true
    }

    /// The backend server with this id ends.
    pub fn on_departure(self: &Rc<Self>, id: &str) {
        let known = self.announced.borrow().as_ref().is_some_and(|a| &*a.id == id);
        if known {
            self.with_book(|book, now| book.left(now));
        }
    }

    /// Kind and rack of the backend server.
    pub fn labels(&self) -> Vec<Name> {
        self.announced.borrow().as_ref().map(|a| a.labels.clone()).unwrap_or_default()
    }

    pub fn space(&self) -> Space {
        self.book.borrow().space(uptime())
    }

    /// Tasks that wait, and runs on the backend server.
    pub fn counts(&self) -> (usize, usize) {
        self.book.borrow().counts()
    }

    /// An entry is known to have lived at some time.
    pub fn heard(self: &Rc<Self>, session: SessionId, name: &Name, at: Uptime) {
        let now = uptime();
        // nobody was heard in the future
        self.book.borrow_mut().heard(session, name, at.min(now), now);
    }

    /// An entry doesn't need this agent, and nothing of it is open.
    pub fn dismiss(&self, session: SessionId) {
        self.book.borrow_mut().dismiss(session);
    }

    /// Whether anything of an entry is open.
    pub fn is_open(&self, session: SessionId) -> bool {
        self.book.borrow().is_open(session)
    }

    pub fn last_heard(&self, session: SessionId) -> Option<Uptime> {
        self.book.borrow().last_heard(session)
    }

    /// Takes tasks, and waits until there is something to say about them.
    pub async fn place(self: &Rc<Self>, session: SessionId, batch: Batch) -> Option<Progress> {
        let key = self.with_book(|book, now| book.place(session, batch, now));
        self.wait_progress(key, 0).await
    }

    /// Waits until there is more to say about a batch.
    pub async fn follow(
        self: &Rc<Self>,
        session: SessionId,
        number: u64,
        after: usize,
    ) -> Option<Progress> {
        let key = self.book.borrow().find(session, number)?;
        self.wait_progress(key, after).await
    }

    /// Gives a batch up, and waits until nothing of it runs.
    pub async fn give_up(self: &Rc<Self>, session: SessionId, number: u64) -> Option<Progress> {
        let key = self.book.borrow().find(session, number)?;
        self.with_book(|book, now| book.give_up(key, now));
        loop {
            let progress = self.wait_progress(key, 0).await?;
            if progress.open == 0 {
                return Some(progress);
            }
            sleep(STOP_POLL).await;
        }
    }

    /// Takes nothing new, and waits until nothing runs or the time is up;
    /// then what still runs is stopped.
    pub async fn shut_down(self: &Rc<Self>, limit: Duration) {
        const POLL: Duration = Duration::from_millis(20);
        const ABANDON: Duration = Duration::from_millis(400);
        self.with_book(|book, now| book.leave(now));
        let end = uptime() + limit;
        while self.book.borrow().is_busy() && uptime() < end {
            sleep(POLL).await;
        }
        self.with_book(|book, now| book.abandon(now));
        let end = uptime() + ABANDON;
        while self.book.borrow().is_busy() && uptime() < end {
            sleep(POLL).await;
        }
    }

    fn is_outdated(&self, it: &Announcement) -> bool {
        let known = self.announced.borrow();
        let Some(known) = known.as_ref() else { return false };
        if it.id == known.id && it.started_ms == known.started_ms {
            return it.sequence <= known.sequence;
        }
        it.started_ms < known.started_ms
    }

    async fn wait_progress(self: &Rc<Self>, key: BatchKey, after: usize) -> Option<Progress> {
        loop {
            let due = {
                let mut replies = self.replies.borrow_mut();
                replies.entry(key)?.or_default().clone()
            };
            let told = due.notified();
            if let Some(progress) = self.book.borrow().progress(key, after, uptime()) {
                return Some(progress);
            }
            told.await;
        }
    }

    fn with_book<T>(self: &Rc<Self>, call: impl FnOnce(&mut Book, Uptime) -> T) -> T {
        let result = call(&mut self.book.borrow_mut(), uptime());
        self.carry_out();
        self.wake.notify_one();
        result
    }

    fn carry_out(self: &Rc<Self>) {
        let effects = self.book.borrow_mut().effects();
        for effect in effects {
            match effect {
                Effect::Start(order) => drop(actix::spawn(self.clone().start_run(order))),
                Effect::Stop(order) => drop(actix::spawn(self.clone().stop_run(order))),
                Effect::Look => self.look(),
                Effect::Fence => {
                    self.raise_fence();
                    self.look();
                }
                Effect::Reply(key) => self.reply(key),
            }
        }
    }

    fn reply(&self, key: BatchKey) {
        if let Some(due) = self.replies.borrow().get(key) {
            due.notify_waiters();
        }
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            let now = uptime();
            self.book.borrow_mut().tick(now);
            self.carry_out();
            let due = self.book.borrow().next_due(now).saturating_sub(uptime());
            // news or the time that is due, whichever is first
            let _ = timeout(due, self.wake.notified()).await;
        }
    }

    async fn keep_listing(self: Rc<Self>) {
        loop {
            let trouble = self.patience.get().in_trouble(uptime());
            let wait = if trouble { BRISK } else { self.chain.renewal() };
            if !self.list(wait).await {
                sleep(LISTING_PAUSE).await;
            }
        }
    }

    /// Asks for a listing beside the one that waits for news.
    fn look(self: &Rc<Self>) {
        if self.looking.replace(true) {
            return;
        }
        let this = self.clone();
        actix::spawn(async move {
            this.list(Duration::ZERO).await;
            this.looking.set(false);
        });
    }

    /// Renews the lease and takes note of the listing; false when there was none.
    async fn list(self: &Rc<Self>, wait: Duration) -> bool {
        let asked = uptime();
        let until =
            self.book.borrow_mut().lease(asked).and_then(|until| self.on_their_clock(until));
        let fence = self.fence.get();
        let hold = Renewal { lease_end: until, fence, acked: self.book.borrow().acked(), wait };
        let backend = self.backend.clone();
        let held = self.answer(wait, async move { backend.renew(hold).await }).await;
        match held {
            Ok(held) => {
                self.read_clock(held.clock);
                // an older listing that was overtaken tells nothing new
                if asked >= self.newest.get() {
                    self.newest.set(asked);
                    let listing = lease::Listing { asked, ..held.listing };
                    self.with_book(|book, now| book.listed(&listing, now));
                }
                true
            }
            Err(Error::Refused { why: Refused::Fenced, .. }) => {
                self.refused_fence(fence);
                true
            }
            Err(_) => {
                // it may have started anew: its next life must refuse what was
                // ordered so far, before it is known to be another
                self.raise_fence();
                self.with_book(|book, now| book.unlisted(now));
                false
            }
        }
    }

    async fn start_run(self: Rc<Self>, order: StartOrder) {
        let until = self.book.borrow_mut().lease_start(order.key, uptime());
        let Some(until) = until.and_then(|until| self.on_their_clock(until)) else {
            // without a lease, or the backend server's clock, nothing can be ordered
            return self.with_book(|book, now| {
                book.started(order.key, Started::No(Refused::Late), now);
            });
        };
        let terms = Terms { lease_end: until, fence: self.fence.get() };
        let (backend, key) = (self.backend.clone(), order.key);
        let call = async move { backend.start(&order, terms).await };
        let started = match self.answer(Duration::ZERO, call).await {
            Ok(clock) => {
                self.read_clock(clock);
                Started::Yes
            }
            Err(Error::Refused { why, clock }) => {
                if let Some(clock) = clock {
                    self.read_clock(clock);
                }
                if why == Refused::Fenced {
                    self.refused_fence(terms.fence);
                }
                Started::No(why)
            }
            Err(Error::Unreachable(_)) => Started::No(Refused::Busy),
            Err(Error::Indeterminate(_)) => Started::Unclear,
        };
        self.with_book(|book, now| book.started(key, started, now));
    }

    async fn stop_run(self: Rc<Self>, order: StopOrder) {
        let (backend, fence) = (self.backend.clone(), self.fence.get());
        let sent = order.clone();
        let call = async move { backend.stop(&sent, fence).await };
        match self.answer(Duration::ZERO, call).await {
            Ok(()) => self.with_book(|book, now| book.stop_confirmed(&order, now)),
            Err(Error::Refused { why: Refused::Fenced, .. }) => self.refused_fence(fence),
            // the book orders it again
            Err(_) => {}
        }
    }

    /// Waits for an answer that may come after `wait`, no longer than is usual.
    async fn answer<T: 'static>(
        self: &Rc<Self>,
        wait: Duration,
        call: impl Future<Output = crate::Result<T>> + 'static,
    ) -> crate::Result<T> {
        // goes on when the answer is given up: a late one tells how long they take
        let mut timed = actix::spawn(self.clone().time(wait, call));
        let limit = wait + self.patience.get().limit();
        match timeout(limit, &mut timed).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => Err(Error::Indeterminate(e.to_string())),
            Err(_) => {
                self.with_patience(|p| p.missed(uptime()));
                Err(Error::Indeterminate(format!("none within {} ms", limit.as_millis())))
            }
        }
    }

    async fn time<T>(
        self: Rc<Self>,
        wait: Duration,
        call: impl Future<Output = crate::Result<T>>,
    ) -> crate::Result<T> {
        let asked = uptime();
        let late = Error::Indeterminate("no answer in time".to_owned());
        let answer = timeout(wait + Patience::LATEST, call).await.unwrap_or(Err(late));
        if wait.is_zero() && !matches!(answer, Err(Error::Indeterminate(_))) {
            self.with_patience(|p| p.answered(uptime().saturating_sub(asked)));
        }
        answer
    }

    fn with_patience(&self, change: impl FnOnce(&mut Patience)) {
        let mut patience = self.patience.get();
        change(&mut patience);
        self.patience.set(patience);
    }

    /// Voids what was ordered so far, where it comes after an order from now on.
    fn raise_fence(&self) {
        self.fence.set(self.fence.get() + 1);
    }

    /// A token was refused: another life of this agent gave orders under a
    /// higher one, unless this one has raised it since.
    fn refused_fence(&self, refused: u64) {
        if refused < self.fence.get() {
            return;
        }
        let raised = refused + FENCE_STEP;
        self.fence.set(raised);
        Event::FenceRaised.note(&[("fence", raised.into())]);
    }

    /// Notes their clock. It was read no later than now, so that a time of
    /// ours turned into theirs comes out early at worst.
    fn read_clock(&self, clock: Duration) {
        self.clock.set(Some((clock, uptime())));
    }

    /// A time of ours on the backend server's clock; `None` when it has passed
    /// or their clock isn't known.
    fn on_their_clock(&self, time: Uptime) -> Option<Duration> {
        let (clock, read) = self.clock.get()?;
        Some(clock + time.checked_sub(read)?)
    }
}
