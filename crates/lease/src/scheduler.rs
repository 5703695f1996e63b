//! What an agent does with its backend server: decisions without I/O. The state is kept in
//! [`Scheduler`]; each module below decides one thing.

mod batches;
mod crashes;
mod forecast;
mod leases;
mod listings;
mod readiness;
mod returns;
mod sessions;
mod starts;
mod stops;

use std::{collections::HashMap, mem, time::Duration};

use base::{Event, Uptime};
use slotmap::SlotMap;

use crate::{
    AgentLoad, CLASSES, ClassStats, CrashReport, Effect, HealthSettings, LeaseTimings, Phase,
    Resources, RunKey, SessionId, TaskRef,
    batch::{BatchKey, BatchState},
    health::Health,
    life::{Announced, Life},
    queue::Queue,
    run::{Run, State},
    session::Session,
    shares::Shares,
    speed::Speed,
    start_rates::StartRates,
};

/// Time after which a stop that was not confirmed is ordered again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// How long a batch is kept after its caller's deadline, and its results after they
/// were reported.
const BATCH_RETENTION: Duration = Duration::from_secs(5);
/// Longest caller's wait for which a batch is kept.
const MAX_KEPT_WAIT: Duration = Duration::from_secs(60);
/// Listings that fail in a row until the backend server counts as unresponsive.
const MAX_FAILED_LISTINGS: u32 = 2;
/// How long after the last task of a class other than 0 the order of starts and the
/// load report still distinguish classes.
const MIXED_PERIOD: Duration = Duration::from_secs(5);
/// Part of their expected run time that runs take at least, as estimates are too
/// high by up to 40 %. A task is returned early only if it could not start in time
/// even then: a task that is returned too early loses capacity that becomes free
/// to less urgent ones.
const LEAST_RUN_TIME: f64 = 0.6;

/// Reason of what is returned because it can never start.
const OVERSIZED: &str = "larger than the backend server";
/// Reason of what is returned because of a drain.
const CENTRE_DRAINED: &str = "data centre is drained";

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
    /// current life of the backend server
    life: Life,
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
    start_rates: StartRates,
    health: Health,
    /// latest end of any lease that the backend server may have got
    leased_until: Uptime,
    /// ends of leases whose calls are in progress
    pending_leases: Vec<Uptime>,
    /// no lease is given because of runs of a lost entry
    is_capped: bool,
    /// listings that failed in a row
    failed_listings: u32,
    /// when the first of them failed
    silent_since: Option<Uptime>,
    /// nothing has listened at the address of the backend server since the last listing
    is_gone: bool,
    /// another life of the backend server may have begun since the newest listing
    is_doubtful: bool,
    /// no starts before this
    next_start: Uptime,
    is_stopping: bool,
    centre: CentreState,
    /// runs stopped because the backend server exits before they can end
    cut_short: u64,
    /// crashes of the backend server that ended runs
    crashes: u64,
    /// the newest crash, and when it was noticed
    crash_report: Option<(CrashReport, Uptime)>,
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

impl Scheduler {
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            life: Life::default(),
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
            start_rates: StartRates::default(),
            health: Health::default(),
            leased_until: Uptime::ZERO,
            pending_leases: Vec::new(),
            is_capped: false,
            failed_listings: 0,
            silent_since: None,
            is_gone: false,
            is_doubtful: false,
            next_start: Uptime::ZERO,
            is_stopping: false,
            centre: CentreState::default(),
            cut_short: 0,
            crashes: 0,
            crash_report: None,
            effects: Vec::new(),
        }
    }

    /// Handles an announcement of the backend server; one of a former life changes nothing.
    pub fn on_announcement(
        &mut self,
        started_ms: u64,
        capacity: Resources,
        phase: impl Into<Phase>,
        now: Uptime,
    ) {
        if started_ms < self.life.started_ms {
            return;
        }
        self.on_start_time(started_ms, now);
        let Phase { draining, remaining, cold_remaining } = phase.into();
        let was_draining = self.is_draining();
        let leaves_at = remaining.filter(|_| draining).map(|remaining| now + remaining);
        let cold_until = self.next_cold_end(cold_remaining, now);
        self.life.has_left = false;
        self.life.announced = Some(Announced { capacity, draining, leaves_at, cold_until });
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
        self.life.announced = None;
        self.life.has_left = true;
        self.return_queued("backend server left", now);
        self.advance(now);
    }

    /// Start time of the life of the backend server that has announced itself, Unix
    /// milliseconds; 0 if it hasn't.
    pub fn announced_life(&self) -> u64 {
        self.life.announced.as_ref().map_or(0, |_| self.life.started_ms)
    }

    /// Starts nothing until the next listing, which shows whether another life of the
    /// backend server has begun.
    pub fn doubt_life(&mut self) {
        self.is_doubtful = true;
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
        let orphans = self.life.orphans.iter().filter(|o| !o.is_confirmed);
        let orphans = orphans.map(|o| o.ordered_at + STOP_RETRY_INTERVAL);
        let stops = stops.chain(orphans);
        let due = sessions.chain(deadline).chain(start).chain(expiry).chain(stops).min();
        due.unwrap_or(now + BATCH_RETENTION).max(now + Duration::from_millis(1))
    }

    /// Takes the actions requested since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }

    /// Load and capacity for more tasks.
    pub fn load(&self, now: Uptime) -> AgentLoad {
        let capacity = self.life.announced.as_ref().map(|a| a.capacity).unwrap_or_default();
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

    /// Number of runs stopped because the backend server exits before they can end.
    pub fn cut_short(&self) -> u64 {
        self.cut_short
    }

    /// Queued tasks and active runs.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.active_runs().count())
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

    fn free(&self) -> Resources {
        let Some(announced) = &self.life.announced else { return Resources::default() };
        let used =
            self.active_runs().filter_map(|k| self.runs.get(k)).map(|r| self.resources_of(r));
        announced.capacity.minus(used.fold(Resources::default(), Resources::plus))
    }

    fn active_runs(&self) -> impl Iterator<Item = RunKey> + '_ {
        self.runs.iter().filter(|(_, r)| r.is_active()).map(|(key, _)| key)
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
