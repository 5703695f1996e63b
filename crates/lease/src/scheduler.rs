use std::{
    collections::{BTreeSet, HashMap},
    mem,
    time::Duration,
};

use base::{Event, Name, Uptime, invariant};
use slotmap::SlotMap;

use crate::{
    AgentLoad, Batch, Effect, EndCause, Ending, HealthSettings, LeaseTimings, Listing, Placement,
    Progress, RefusalReason, Resources, RunEnd, RunKey, RunProgress, SessionId, StartOrder,
    StartOutcome, StopOrder, TaskRef, TaskResult,
    batch::{BatchKey, BatchState},
    health::Health,
    run::{Run, State, Stopping, Track, Why},
    session::Session,
    speed::Speed,
};

/// A stop that was not confirmed is ordered again after this.
const STOP_RETRY: Duration = Duration::from_millis(30);
/// For the end of what lapsed to take effect.
const LAPSE_SLACK: Duration = Duration::from_millis(60);
/// No start is tried for so long after the backend server had no room.
const ROOM_PAUSE: Duration = Duration::from_millis(20);
/// How long a reply can still be asked for once all of a batch has settled;
/// longer than an entry waits for a lost link.
const KEEP_CLOSED: Duration = Duration::from_secs(5);
/// How long an end is remembered; answers don't overtake each other by more.
const KEEP_OVER: Duration = Duration::from_secs(1);
/// Listings that fail in a row until the backend server counts as silent.
const SILENT_AFTER: u32 = 2;
/// Share of the work at which the speed of a run is sampled.
const SAMPLE_PERCENT: u32 = 40;
/// A run that makes no progress for so long, or for several times its own
/// longest step, stands still.
const STALL: Duration = Duration::from_millis(300);
const STALL_STEPS: u32 = 5;

/// Settings of a book.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    pub timings: LeaseTimings,
    pub health: HealthSettings,
    /// most tasks that wait
    pub max_queued: usize,
}

/// Everything an agent knows about its backend server, the entries it works
/// for and the runs between them. Every call tells the time, and first ends
/// what that time has ended: an agent that slept gives no order on the word
/// of a session that lapsed meanwhile.
pub struct Scheduler {
    settings: SchedulerSettings,
    backend: Option<Backend>,
    sessions: HashMap<SessionId, Session>,
    batches: SlotMap<BatchKey, BatchState>,
    numbers: HashMap<(SessionId, u64), BatchKey>,
    runs: SlotMap<RunKey, Run>,
    tasks: HashMap<TaskRef, RunKey>,
    /// runs that wait, by the latest time of their start
    queue: BTreeSet<(Uptime, RunKey)>,
    speed: Speed,
    health: Health,
    /// what was leased to the backend server ends by then
    leased: Uptime,
    /// listings that failed in a row
    missed: u32,
    /// last listing showed no runs but ours
    clean: bool,
    /// newest end that was taken note of
    acked: u64,
    /// number of each run that was listed as ended, and when
    over: HashMap<TaskRef, (u32, Uptime)>,
    room_at: Uptime,
    leaving: bool,
    effects: Vec<Effect>,
}

/// One life of the backend server.
#[derive(Clone, Debug)]
struct Backend {
    born: u64,
    capacity: Resources,
    draining: bool,
}

impl Scheduler {
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            backend: None,
            sessions: HashMap::new(),
            batches: SlotMap::with_key(),
            numbers: HashMap::new(),
            runs: SlotMap::with_key(),
            tasks: HashMap::new(),
            queue: BTreeSet::new(),
            speed: Speed::default(),
            health: Health::default(),
            leased: Uptime::ZERO,
            missed: 0,
            clean: false,
            acked: 0,
            over: HashMap::new(),
            room_at: Uptime::ZERO,
            leaving: false,
            effects: Vec::new(),
        }
    }

    /// The backend server said what it is.
    pub fn on_announcement(&mut self, born: u64, capacity: Resources, draining: bool, now: Uptime) {
        self.born(born, now);
        let before = self.backend.as_ref().is_some_and(|b| b.draining);
        self.backend = Some(Backend { born, capacity, draining });
        if draining && !before {
            Event::BackendDraining.note(&[("born", born.into())]);
            self.hand_back("backend server leaves", now);
        }
        self.advance(now);
    }

    /// The backend server said that it ends.
    pub fn on_backend_exit(&mut self, now: Uptime) {
        self.hand_back("backend server left", now);
        self.backend = None;
        self.advance(now);
    }

    /// This agent stops: nothing new starts, what runs may end.
    pub fn drain(&mut self, now: Uptime) {
        self.leaving = true;
        self.hand_back("agent stops", now);
        self.advance(now);
    }

    /// This agent has no time left for what still runs.
    pub fn stop_all(&mut self, now: Uptime) {
        let active: Vec<RunKey> = self.active().collect();
        for key in active {
            self.stop_run(key, Why::Leaving, now);
        }
        self.advance(now);
    }

    /// An entry is known to have lived at some time.
    pub fn extend_session(&mut self, id: SessionId, name: &Name, at: Uptime, now: Uptime) {
        // what lapsed while this agent slept stays lapsed, whoever is heard now
        self.lapse_sessions(now);
        if at + self.settings.timings.session_ttl < now {
            return;
        }
        let session = self.sessions.entry(id).or_insert_with(|| {
            Event::SessionOpened.note(&[("entry", (&**name).into()), ("session", id.0.into())]);
            Session { name: name.clone(), heard: at }
        });
        session.heard = session.heard.max(at);
    }

    /// Whether anything of an entry waits or runs here.
    pub fn has_open_work(&self, id: SessionId) -> bool {
        self.batches.values().any(|b| b.session == id && b.pending > 0)
            || self.runs.values().any(|r| self.session_of(r) == Some(id))
    }

    /// An entry doesn't need this agent, and nothing of it is open: its session
    /// ends.
    pub fn close_session(&mut self, id: SessionId) {
        invariant!(!self.has_open_work(id), "session {} ends with work open", id.0);
        if let Some(session) = self.sessions.remove(&id) {
            Event::SessionClosed
                .note(&[("entry", (&*session.name).into()), ("session", id.0.into())]);
        }
    }

    /// Latest time at which an entry is known to have lived.
    pub fn last_seen(&self, id: SessionId) -> Option<Uptime> {
        self.sessions.get(&id).map(|s| s.heard)
    }

    /// Takes tasks of a job; those that can't start in time are handed back
    /// at once.
    pub fn place(&mut self, id: SessionId, batch: Batch, now: Uptime) -> BatchKey {
        self.lapse_sessions(now);
        if let Some(key) = self.numbers.get(&(id, batch.number)) {
            return *key;
        }
        let tasks = batch.tasks.clone();
        let latest = now + batch.max_wait.min(batch.time_left);
        let key = self.batches.insert(BatchState {
            session: id,
            number: batch.number,
            job: batch.job.clone(),
            spec: batch.spec,
            resources: batch.resources,
            estimate: batch.estimate,
            results: Vec::new(),
            pending: tasks.len() as u32,
            started: false,
            closed: None,
        });
        self.numbers.insert((id, batch.number), key);
        let mut queued = 0u32;
        for task in &tasks {
            match self.refusal(id, key, *task, latest, now) {
                Some(why) => self.settle_unplaced(key, *task, why, now),
                None => {
                    queued += 1;
                    self.enqueue(key, *task, latest, now);
                }
            }
        }
        Event::BatchQueued.note(&[
            ("job", (&*batch.job).into()),
            ("session", id.0.into()),
            ("queued", queued.into()),
            ("asked", (tasks.len() as u64).into()),
            ("wait_ms", millis(batch.max_wait).into()),
            ("free_cpu", self.free().cpu.into()),
            ("waiting", (self.queue.len() as u64).into()),
        ]);
        self.advance(now);
        key
    }

    /// The batch that an entry placed under a number.
    pub fn find(&self, id: SessionId, number: u64) -> Option<BatchKey> {
        self.numbers.get(&(id, number)).copied()
    }

    /// Where a batch stands, once there is something to say beyond the first
    /// `after` ends: all has settled, or something is not done.
    pub fn progress(&self, key: BatchKey, after: usize, now: Uptime) -> Option<Progress> {
        let batch = self.batches.get(key)?;
        let news = batch.results.get(after..).unwrap_or_default();
        let due = batch.pending == 0 || news.iter().any(|s| s.ending != Ending::Done);
        due.then(|| Progress {
            results: news.to_vec(),
            pending: batch.pending,
            load: self.load(now),
            started: batch.started,
        })
    }

    /// An entry gives a batch up.
    pub fn cancel_batch(&mut self, key: BatchKey, now: Uptime) {
        let runs: Vec<RunKey> = self.runs_of(key).collect();
        for run in runs {
            self.stop_run(run, Why::GivenUp, now);
        }
        self.advance(now);
    }

    /// The backend server answered an order to start, or didn't.
    pub fn on_start_outcome(&mut self, key: RunKey, on_start_outcome: StartOutcome, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        if run.state != State::Starting {
            // it is being stopped meanwhile, or a listing was faster
            return;
        }
        match on_start_outcome {
            StartOutcome::Accepted => run.state = State::Running(now),
            StartOutcome::Indeterminate => {
                Event::OrderUnanswered.note(&[
                    ("job", (&*run.task.job).into()),
                    ("index", run.task.index.into()),
                    ("run", run.number.into()),
                ]);
                // it may still be carried out: stopping voids it
                self.stop_run(key, Why::Unanswered, now);
            }
            StartOutcome::Rejected(why) => self.start_refused(key, why, now),
        }
        self.advance(now);
    }

    /// The backend server confirmed an order to stop.
    pub fn on_stop_confirmed(&mut self, order: &StopOrder, now: Uptime) {
        let Some(run) = self.tasks.get(&order.task).and_then(|k| self.runs.get_mut(*k)) else {
            return;
        };
        if run.number != order.run {
            return;
        }
        if let State::Stopping(stopping) = &mut run.state
            && stopping.confirmed.is_none()
        {
            stopping.confirmed = Some(now);
            self.effects.push(Effect::RefreshListing);
        }
    }

    /// The backend server gave a listing.
    pub fn on_listing(&mut self, listing: &Listing, now: Uptime) {
        if self.missed >= SILENT_AFTER {
            Event::BackendResponsive.note(&[("missed", self.missed.into())]);
        }
        self.missed = 0;
        self.born(listing.started_ms, now);
        self.lapse_sessions(now);
        let mut strays = false;
        for row in &listing.running {
            strays |= !self.still_running(row, now);
        }
        for row in &listing.ended {
            self.has_ended(row, now);
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
            self.not_listed(key, listing.requested_at, now);
        }
        self.clean = !strays;
        self.advance(now);
    }

    /// The backend server gave no listing.
    pub fn on_listing_failed(&mut self, now: Uptime) {
        self.missed += 1;
        if self.missed == SILENT_AFTER {
            Event::BackendUnresponsive.note(&[("running", (self.active().count() as u64).into())]);
            self.hand_back("backend server is silent", now);
        }
        self.advance(now);
    }

    /// Until when what runs is to be leased; `None` when it is to lapse.
    pub fn renew_lease(&mut self, now: Uptime) -> Option<Uptime> {
        self.lapse_sessions(now);
        let heard = self.sessions.values().map(|s| s.heard).max()?;
        Some(self.lease_from(heard, now))
    }

    /// Until when a run that is about to be ordered is to be leased; `None`
    /// when it is no longer to start.
    pub fn lease_for_start(&mut self, key: RunKey, now: Uptime) -> Option<Uptime> {
        self.lapse_sessions(now);
        let run = self.runs.get(key).filter(|r| r.state == State::Starting)?;
        let heard = self.sessions.get(&self.session_of(run)?)?.heard;
        Some(self.lease_from(heard, now))
    }

    /// Newest end that was taken note of.
    pub fn last_acked(&self) -> u64 {
        self.acked
    }

    /// Whether anything runs, or may.
    pub fn is_busy(&self) -> bool {
        self.active().next().is_some()
    }

    /// Does what the time asks for.
    pub fn tick(&mut self, now: Uptime) {
        self.advance(now);
    }

    /// When the next call of [`Book::tick`] is due at the latest.
    pub fn next_due(&self, now: Uptime) -> Uptime {
        let session = self.settings.timings.session_ttl;
        let sessions = self.sessions.values().map(|s| s.heard + session);
        let late = self.queue.first().map(|(latest, _)| *latest);
        let room = (!self.queue.is_empty() && self.room_at > now).then_some(self.room_at);
        let lapse = self.is_busy().then(|| self.lapse_at());
        let stops = self.runs.values().filter_map(|r| match r.state {
            State::Stopping(s) if s.confirmed.is_none() => Some(s.asked + STOP_RETRY),
            _ => None,
        });
        let due = sessions.chain(late).chain(room).chain(lapse).chain(stops).min();
        due.unwrap_or(now + KEEP_CLOSED).max(now + Duration::from_millis(1))
    }

    /// What is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }

    /// What there is for further tasks.
    pub fn load(&self, now: Uptime) -> AgentLoad {
        let capacity = self.backend.as_ref().map(|b| b.capacity).unwrap_or_default();
        AgentLoad {
            ready: self.unready().is_none() && self.trusted(now),
            capacity,
            free: self.free(),
            expected_wait: self.wait_behind(Uptime::MAX),
            slowness: self.speed.slowness(),
            suspect: self.health.is_suspect(),
        }
    }

    /// Tasks that wait, and runs on the backend server.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.active().count())
    }

    /// Notes and gives the end of a lease for entries last heard at some time.
    fn lease_from(&mut self, heard: Uptime, now: Uptime) -> Uptime {
        let LeaseTimings { session_ttl, lease_ttl, .. } = self.settings.timings;
        let until = (heard + session_ttl).min(now + lease_ttl);
        self.leased = self.leased.max(until);
        until
    }

    fn advance(&mut self, now: Uptime) {
        self.lapse_sessions(now);
        self.lapse_leases(now);
        self.drop_late(now);
        self.start_waiting(now);
        self.drop_hopeless(now);
        self.retry_stops(now);
        self.forget_closed(now);
    }

    fn lapse_sessions(&mut self, now: Uptime) {
        let session = self.settings.timings.session_ttl;
        let dead: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.heard + session < now)
            .map(|(id, _)| *id)
            .collect();
        for id in dead {
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
                ("silent_ms", millis(now.saturating_sub(session.heard)).into()),
                ("runs", (runs.len() as u64).into()),
            ]);
            for key in runs {
                self.stop_run(key, Why::SessionLapsed, now);
            }
        }
    }

    /// Ends what the backend server can't run any more, whether it answers or not.
    fn lapse_leases(&mut self, now: Uptime) {
        if now <= self.lapse_at() || !self.is_busy() {
            return;
        }
        let active: Vec<RunKey> = self.active().collect();
        Event::LeasesExpired.note(&[("runs", (active.len() as u64).into())]);
        for key in active {
            self.settle(key, Ending::Lost, "lease of the backend server lapsed", now);
        }
    }

    fn lapse_at(&self) -> Uptime {
        let hold = self.settings.timings.lease_ttl;
        self.leased + LeaseTimings::worst_case_expiry(hold).saturating_sub(hold) + LAPSE_SLACK
    }

    fn drop_late(&mut self, now: Uptime) {
        while let Some((latest, key)) = self.queue.first().copied().filter(|(l, _)| *l < now) {
            self.queue.remove(&(latest, key));
            self.settle(key, Ending::NotRun, "no room in time", now);
        }
    }

    /// Hands back what others have got ahead of, while it can still end in time
    /// elsewhere.
    fn drop_hopeless(&mut self, now: Uptime) {
        let mut ahead = 0.0;
        let mut hopeless = Vec::new();
        for (latest, key) in &self.queue {
            let Some(run) = self.runs.get(*key) else { continue };
            let cpu = f64::from(self.size_of(run).cpu);
            if now + self.time_to_free(ahead + cpu) > *latest {
                hopeless.push((*latest, *key));
            } else {
                ahead += cpu;
            }
        }
        for entry in hopeless {
            self.queue.remove(&entry);
            self.settle(entry.1, Ending::NotRun, "no room expected in time", now);
        }
    }

    fn start_waiting(&mut self, now: Uptime) {
        if self.unready().is_some() || self.room_at > now {
            return;
        }
        while let Some((latest, key)) = self.queue.first().copied() {
            let Some(run) = self.runs.get(key) else {
                invariant!(false, "queue holds a run that the book lacks");
                self.queue.remove(&(latest, key));
                continue;
            };
            let size = self.size_of(run);
            if !size.fits(self.free()) || self.renew_lease(now).is_none() {
                return;
            }
            self.queue.remove(&(latest, key));
            self.order_start(key, now);
        }
    }

    fn order_start(&mut self, key: RunKey, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let Some(batch) = self.batches.get_mut(run.batch) else { return };
        invariant!(
            self.sessions.contains_key(&batch.session),
            "start of {} for a session that lapsed",
            run.task
        );
        run.state = State::Starting;
        run.ordered = now;
        batch.started = true;
        self.effects.push(Effect::Start(StartOrder {
            key,
            task: run.task.clone(),
            run: run.number,
            spec: batch.spec.clone(),
        }));
    }

    fn start_refused(&mut self, key: RunKey, why: RefusalReason, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        Event::OrderRefused.note(&[
            ("job", (&*run.task.job).into()),
            ("index", run.task.index.into()),
            ("run", run.number.into()),
            ("why", format!("{why:?}").as_str().into()),
        ]);
        match why {
            RefusalReason::Room => {
                self.room_at = now + ROOM_PAUSE;
                self.requeue(key, now);
            }
            RefusalReason::Old => {
                // numbers used here by an earlier job or process are not known
                run.number = run.number.saturating_mul(2);
                self.requeue(key, now);
            }
            RefusalReason::Late | RefusalReason::Fenced => self.requeue(key, now),
            RefusalReason::Busy => {
                self.bad(now);
                self.settle(key, Ending::NotRun, "backend server refused it", now);
            }
            RefusalReason::Invalid => {
                self.settle(key, Ending::NotRun, "backend server can't read the order", now);
            }
        }
    }

    fn requeue(&mut self, key: RunKey, now: Uptime) {
        if self.unready().is_some() {
            return self.settle(key, Ending::NotRun, "backend server takes no new work", now);
        }
        let Some(run) = self.runs.get_mut(key) else { return };
        run.state = State::Queued;
        run.progress = Track::default();
        self.queue.insert((run.latest, key));
    }

    fn retry_stops(&mut self, now: Uptime) {
        for run in self.runs.values_mut() {
            let State::Stopping(stopping) = &mut run.state else { continue };
            if stopping.confirmed.is_none() && stopping.asked + STOP_RETRY <= now {
                stopping.asked = now;
                let order = StopOrder { task: run.task.clone(), run: run.number };
                self.effects.push(Effect::Stop(order));
            }
        }
    }

    fn forget_closed(&mut self, now: Uptime) {
        self.over.retain(|_, (_, at)| *at + KEEP_OVER > now);
        let old = |b: &BatchState| b.closed.is_some_and(|at| at + KEEP_CLOSED < now);
        let numbers = &mut self.numbers;
        self.batches.retain(|_, batch| {
            let keep = !old(batch);
            if !keep {
                numbers.remove(&(batch.session, batch.number));
            }
            keep
        });
    }

    /// Why a task is handed back at once; `None` when it may wait here.
    fn refusal(
        &self,
        id: SessionId,
        key: BatchKey,
        task: Placement,
        latest: Uptime,
        now: Uptime,
    ) -> Option<&'static str> {
        if !self.sessions.contains_key(&id) {
            return Some("session lapsed");
        }
        if let Some(why) = self.unready() {
            return Some(why);
        }
        if !self.trusted(now) {
            return Some("backend server is suspect");
        }
        let batch = self.batches.get(key)?;
        if self.tasks.contains_key(&TaskRef { job: batch.job.clone(), index: task.index }) {
            return Some("another run of the task is here");
        }
        let capacity = self.backend.as_ref().map(|b| b.capacity).unwrap_or_default();
        if !batch.resources.fits(capacity) {
            return Some("larger than the backend server");
        }
        if self.queue.len() >= self.settings.max_queued {
            return Some("queue is full");
        }
        let fits = self.queue.is_empty() && batch.resources.fits(self.free());
        if !fits && now + self.wait_behind(latest) > latest {
            return Some("no room in time");
        }
        None
    }

    /// Expected wait of a task that goes behind those that must start before `latest`.
    fn wait_behind(&self, latest: Uptime) -> Duration {
        let ahead: f64 = self
            .queue
            .iter()
            .take_while(|(l, _)| *l <= latest)
            .filter_map(|(_, key)| self.runs.get(*key))
            .map(|run| f64::from(self.size_of(run).cpu))
            .sum();
        // one more task of the usual size
        self.time_to_free(ahead + self.usual_cpu())
    }

    /// Expected time until so much more of the processors is free.
    fn time_to_free(&self, cpu: f64) -> Duration {
        let Some(backend) = &self.backend else { return Duration::ZERO };
        let missing = (cpu - f64::from(self.free().cpu)).max(0.0);
        self.speed.mean().mul_f64(missing / f64::from(backend.capacity.cpu.max(1)))
    }

    /// Processors that a run takes here, in the mean.
    fn usual_cpu(&self) -> f64 {
        let sizes = self.active().filter_map(|k| self.runs.get(k)).map(|r| self.size_of(r).cpu);
        let (count, sum) = sizes.fold((0u32, 0.0), |(n, sum), cpu| (n + 1, sum + f64::from(cpu)));
        sum / f64::from(count.max(1))
    }

    fn enqueue(&mut self, batch: BatchKey, task: Placement, latest: Uptime, now: Uptime) {
        let Some(state) = self.batches.get(batch) else { return };
        let task_ref = TaskRef { job: state.job.clone(), index: task.index };
        let key = self.runs.insert(Run {
            batch,
            task: task_ref.clone(),
            number: task.run.max(1),
            latest,
            state: State::Queued,
            ordered: now,
            progress: Track::default(),
        });
        self.tasks.insert(task_ref, key);
        self.queue.insert((latest, key));
    }

    /// Whether a run that goes on is ours; a stray one is stopped.
    fn still_running(&mut self, row: &RunProgress, now: Uptime) -> bool {
        let key = self.tasks.get(&row.task).copied();
        let Some((key, run)) = key.and_then(|k| Some((k, self.runs.get_mut(k)?))) else {
            // an answer that was overtaken by the one with the end
            if self.over.get(&row.task).is_some_and(|(run, _)| *run >= row.run) {
                return true;
            }
            self.stop_stray(row);
            return false;
        };
        if run.number != row.run {
            self.stop_stray(row);
            return false;
        }
        match run.state {
            State::Queued => {
                self.stop_stray(row);
                return false;
            }
            State::Starting => run.state = State::Running(now),
            State::Running(_) => {}
            State::Stopping(_) => return true,
        }
        self.follow_progress(key, row.percent, now);
        true
    }

    fn stop_stray(&mut self, row: &RunProgress) {
        Event::OrphanRun.note(&[
            ("job", (&*row.task.job).into()),
            ("index", row.task.index.into()),
            ("run", row.run.into()),
        ]);
        self.effects.push(Effect::Stop(StopOrder { task: row.task.clone(), run: row.run }));
    }

    fn follow_progress(&mut self, key: RunKey, percent: u32, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let estimate = self.batches.get(run.batch).map(|b| b.estimate).unwrap_or_default();
        let track = &mut run.progress;
        if percent > track.percent || track.changed.is_zero() {
            if !track.changed.is_zero() {
                track.step = track.step.max(now.saturating_sub(track.changed));
            }
            track.percent = percent;
            track.changed = now;
            if percent >= SAMPLE_PERCENT && !track.sampled {
                track.sampled = true;
                let elapsed = now.saturating_sub(run.ordered);
                self.speed.observe(elapsed.mul_f64(100.0 / f64::from(percent)), estimate);
            }
            return;
        }
        if now.saturating_sub(track.changed) > STALL.max(track.step * STALL_STEPS) {
            self.bad(now);
            self.stop_run(key, Why::Stalled, now);
        }
    }

    fn has_ended(&mut self, row: &RunEnd, now: Uptime) {
        if row.sequence <= self.acked {
            return;
        }
        self.acked = row.sequence;
        self.over.insert(row.task.clone(), (row.run, now));
        let Some(key) = self.tasks.get(&row.task).copied() else { return };
        let Some(run) = self.runs.get(key) else { return };
        if run.number != row.run || !run.is_active() {
            return;
        }
        match row.cause {
            EndCause::Done => {
                self.good();
                self.settle(key, Ending::Done, "", now);
            }
            EndCause::Failed => {
                self.bad(now);
                self.settle(key, Ending::Failed, "failed on the backend server", now);
            }
            EndCause::Stopped | EndCause::Expired | EndCause::Preempted => self.is_over(key, now),
        }
    }

    /// A listing asked for at some time doesn't show an active run.
    fn not_listed(&mut self, key: RunKey, asked: Uptime, now: Uptime) {
        let Some(run) = self.runs.get(key) else { return };
        match run.state {
            State::Running(since) if since < asked => self.is_over(key, now),
            State::Stopping(Stopping { confirmed: Some(at), .. }) if at < asked => {
                self.is_over(key, now);
            }
            _ => {}
        }
    }

    /// A run was ended or never began, and can't begin any more.
    fn is_over(&mut self, key: RunKey, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let State::Stopping(stopping) = run.state else {
            return self.settle(key, Ending::Lost, "lapsed on the backend server", now);
        };
        if stopping.why == Why::Unanswered && now <= run.latest {
            run.number += 1;
            return self.requeue(key, now);
        }
        self.settle(key, Ending::Lost, stopping.why.as_str(), now);
    }

    fn stop_run(&mut self, key: RunKey, why: Why, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        match &mut run.state {
            State::Queued => {
                self.queue.remove(&(run.latest, key));
                self.settle(key, Ending::NotRun, why.as_str(), now);
            }
            State::Stopping(stopping) => {
                // whoever gave it up doesn't want it started again
                if stopping.why == Why::Unanswered {
                    stopping.why = why;
                }
            }
            _ => self.order_stop(key, why, now),
        }
    }

    /// Hands back what waits.
    fn hand_back(&mut self, why: &str, now: Uptime) {
        for (_, key) in mem::take(&mut self.queue) {
            self.settle(key, Ending::NotRun, why, now);
        }
    }

    /// Notes the life of the backend server; another one knows nothing of before.
    fn born(&mut self, born: u64, now: Uptime) {
        let Some(backend) = &mut self.backend else { return };
        if born <= backend.born {
            return;
        }
        backend.born = born;
        self.acked = 0;
        self.over.clear();
        self.clean = false;
        let active: Vec<RunKey> = self.active().collect();
        Event::BackendRestarted
            .note(&[("born", born.into()), ("runs", (active.len() as u64).into())]);
        self.effects.push(Effect::RaiseFence);
        for key in active {
            // what was ordered lately may be in the new life, or reach it yet
            let why = match self.runs.get(key).map(|r| r.state) {
                Some(State::Starting) => Why::Unanswered,
                Some(State::Stopping(stopping)) => stopping.why,
                _ => Why::Reborn,
            };
            self.order_stop(key, why, now);
        }
    }

    fn order_stop(&mut self, key: RunKey, why: Why, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.state = State::Stopping(Stopping { why, asked: now, confirmed: None });
        let order = StopOrder { task: run.task.clone(), run: run.number };
        self.effects.push(Effect::Stop(order));
    }

    fn settle_unplaced(&mut self, key: BatchKey, task: Placement, why: &str, now: Uptime) {
        let settled = TaskResult {
            index: task.index,
            run: task.run,
            ending: Ending::NotRun,
            reason: why.into(),
            ran: Duration::ZERO,
        };
        self.note_settled(key, settled, now);
    }

    fn settle(&mut self, key: RunKey, ending: Ending, why: &str, now: Uptime) {
        let Some(run) = self.runs.remove(key) else { return };
        self.tasks.remove(&run.task);
        let ran = match run.state {
            State::Queued => Duration::ZERO,
            _ => now.saturating_sub(run.ordered),
        };
        if ending == Ending::Done && !run.progress.sampled {
            let estimate = self.batches.get(run.batch).map(|b| b.estimate).unwrap_or_default();
            self.speed.observe(ran, estimate);
        }
        Event::TaskEnded.note(&[
            ("job", (&*run.task.job).into()),
            ("index", run.task.index.into()),
            ("run", run.number.into()),
            ("ending", format!("{ending:?}").as_str().into()),
            ("why", why.into()),
            ("ran_ms", millis(ran).into()),
        ]);
        let settled =
            TaskResult { index: run.task.index, run: run.number, ending, reason: why.into(), ran };
        self.note_settled(run.batch, settled, now);
    }

    fn note_settled(&mut self, key: BatchKey, settled: TaskResult, now: Uptime) {
        let Some(batch) = self.batches.get_mut(key) else { return };
        invariant!(batch.pending > 0, "more ends than tasks in a batch of {}", batch.job);
        batch.pending = batch.pending.saturating_sub(1);
        if batch.pending == 0 {
            batch.closed = Some(now);
        }
        let due = batch.pending == 0 || settled.ending != Ending::Done;
        batch.results.push(settled);
        if due {
            self.effects.push(Effect::Reply(key));
        }
    }

    fn good(&mut self) {
        if self.health.is_suspect() {
            Event::BackendTrusted.note(&[]);
        }
        self.health.good();
    }

    fn bad(&mut self, now: Uptime) {
        let before = self.health.is_suspect();
        self.health.bad(&self.settings.health, now);
        if !before && self.health.is_suspect() {
            Event::BackendSuspect.note(&[("running", (self.active().count() as u64).into())]);
            self.hand_back("backend server is suspect", now);
        }
    }

    /// Why nothing new may start; `None` when it may.
    fn unready(&self) -> Option<&'static str> {
        let Some(backend) = &self.backend else { return Some("no backend server yet") };
        if backend.draining {
            return Some("backend server leaves");
        }
        if self.leaving {
            return Some("agent stops");
        }
        if self.missed >= SILENT_AFTER {
            return Some("backend server is silent");
        }
        if !self.clean {
            return Some("runs of an earlier process go on");
        }
        None
    }

    /// Whether the backend server may get a task: a suspect one only now and
    /// then, and one at a time.
    fn trusted(&self, now: Uptime) -> bool {
        !self.health.is_suspect() || (self.health.may_probe(now) && self.runs.is_empty())
    }

    fn free(&self) -> Resources {
        let Some(backend) = &self.backend else { return Resources::default() };
        let used = self.active().filter_map(|k| self.runs.get(k)).map(|r| self.size_of(r));
        backend.capacity.minus(used.fold(Resources::default(), Resources::plus))
    }

    fn active(&self) -> impl Iterator<Item = RunKey> + '_ {
        self.runs.iter().filter(|(_, r)| r.is_active()).map(|(key, _)| key)
    }

    fn runs_of(&self, batch: BatchKey) -> impl Iterator<Item = RunKey> + '_ {
        self.runs.iter().filter(move |(_, r)| r.batch == batch).map(|(key, _)| key)
    }

    fn session_of(&self, run: &Run) -> Option<SessionId> {
        self.batches.get(run.batch).map(|b| b.session)
    }

    fn size_of(&self, run: &Run) -> Resources {
        self.batches.get(run.batch).map(|b| b.resources).unwrap_or_default()
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
