use std::time::{Duration, Instant};

use base::Name;

use crate::{Entitlement, TeamUsage};

/// Use over its share that a team may reach before it is refused.
const SLACK: f64 = 1.1;
/// The same where the wait is long.
const FULL: f64 = 0.98;

/// Settings of admission.
#[derive(Clone, Debug)]
pub struct Settings {
    /// share of taken slots up to which teams may go over their quota, 0 to 1
    pub lend_below: f64,
    /// share of the time left beside the run that may be spent waiting, 0 to 1
    pub wait_share: f64,
    /// wait beyond which only submissions with much time left are taken
    pub long_wait: Duration,
    /// share of the time left that may be spent on a longer wait, 0 to 1
    pub long_wait_share: f64,
    /// shortest time to come back
    pub min_retry: Duration,
    /// longest time to come back
    pub max_retry: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lend_below: 0.75,
            wait_share: 0.6,
            long_wait: Duration::from_millis(500),
            long_wait_share: 0.05,
            min_retry: Duration::from_millis(500),
            max_retry: Duration::from_secs(30),
        }
    }
}

/// How busy the service is for a class of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLoad {
    /// expected wait at the best agent
    pub wait: Duration,
    /// expected run time there
    pub run: Duration,
    /// share of all slots that are taken, 0 to 1
    pub busy_share: f64,
    /// slots of all agents
    pub slots: u32,
}

/// What a submission asks for.
#[derive(Clone, Debug)]
pub struct Submission<'a> {
    pub team: &'a Name,
    pub entitlement: Entitlement,
    pub tasks: usize,
    pub time_left: Duration,
}

/// Why a submission is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// can't end by its deadline
    Backlog,
    /// its team has had its share of a busy service
    Quota,
}

/// A refusal, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub reason: RefusalReason,
    pub retry_after: Duration,
}

/// Admits submissions to one service.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    settings: Settings,
    shares: TeamUsage,
}

impl Admission {
    pub fn new(settings: Settings) -> Self {
        Self { settings, shares: TeamUsage::default() }
    }

    /// Admits a submission whole, or refuses it whole. `spread` is a random
    /// number from 0 to 1 that keeps refused callers from coming back at once.
    ///
    /// # Errors
    /// When it can't end by its deadline, or its team has had its share.
    pub fn admit(
        &mut self,
        asked: &Submission<'_>,
        pressure: ServiceLoad,
        spread: f64,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.shares.ask(asked.team, asked.entitlement.weight, asked.tasks, now);
        let run = pressure.own_work(asked.tasks);
        let spare = self.most_wait(asked.time_left, run);
        if run > asked.time_left || pressure.wait > spare {
            return Err(self.refuse(RefusalReason::Backlog, pressure.wait.max(run), spread));
        }
        if self.is_pressed(asked.entitlement, pressure) {
            let ratio = self.shares.ratio(asked.team, asked.entitlement, now);
            // the upper half of the wait is for teams below their share
            let most = if pressure.wait > spare / 2 { FULL } else { SLACK };
            if ratio > most {
                return Err(self.refuse(
                    RefusalReason::Quota,
                    TeamUsage::time_to_share(ratio),
                    spread,
                ));
            }
        }
        self.shares.take(asked.team, asked.tasks);
        Ok(())
    }

    /// Longest wait with which a submission is taken. It is bounded for all
    /// alike, or else work with late deadlines would crowd out the rest.
    fn most_wait(&self, left: Duration, run: Duration) -> Duration {
        let Settings { wait_share, long_wait_share, long_wait, .. } = self.settings;
        let bound = left.mul_f64(long_wait_share).max(long_wait);
        left.saturating_sub(run).mul_f64(wait_share).min(bound)
    }

    /// Whether what a team takes over its share is missing to others. Quotas
    /// leave some slots free; without one, a team may take all that is idle.
    fn is_pressed(&self, entitled: Entitlement, pressure: ServiceLoad) -> bool {
        match entitled.quota {
            Some(_) => pressure.busy_share >= self.settings.lend_below,
            None => !pressure.wait.is_zero(),
        }
    }

    /// Comes back after the excess is worked off, spread over as long again.
    fn refuse(&self, why: RefusalReason, after: Duration, spread: f64) -> Refusal {
        let Settings { min_retry, max_retry, .. } = self.settings;
        let after = after.clamp(min_retry, max_retry);
        Refusal { reason: why, retry_after: after + after.mul_f64(spread.clamp(0.0, 1.0)) }
    }
}

impl ServiceLoad {
    /// Time that the tasks of a submission take, on all slots together.
    fn own_work(&self, tasks: usize) -> Duration {
        let rounds = tasks.div_ceil(self.slots.max(1) as usize);
        self.run * rounds as u32
    }
}
