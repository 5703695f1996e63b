use std::time::{Duration, Instant};

use base::Name;

use crate::{Entitlement, TeamUsage};

/// Usage, relative to its fair share, above which a team is refused.
const MAX_USAGE_RATIO: f64 = 1.1;
/// The same during long waits, below 1 so that they are left to teams under
/// their share.
const MAX_USAGE_RATIO_LONG_WAIT: f64 = 0.98;

/// Settings of admission.
#[derive(Clone, Debug)]
pub struct Settings {
    /// share of taken slots below which teams may exceed their quota, 0 to 1
    pub lend_below: f64,
    /// share of the slack to the deadline that may be spent waiting, 0 to 1
    pub wait_share: f64,
    /// wait beyond which only submissions with a distant deadline are admitted
    pub long_wait: Duration,
    /// share of the time to the deadline that a longer wait may take, 0 to 1
    pub long_wait_share: f64,
    /// shortest retry delay, before jitter
    pub min_retry: Duration,
    /// longest retry delay, before jitter
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

/// Load of a service for a class of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLoad {
    /// expected wait at the best agent
    pub wait: Duration,
    /// expected run time at that agent
    pub run: Duration,
    /// share of all slots that are taken, 0 to 1
    pub busy_share: f64,
    /// slots of all agents
    pub slots: u32,
}

/// A submission to admit or refuse.
#[derive(Clone, Debug)]
pub struct Submission<'a> {
    pub team: &'a Name,
    pub entitlement: Entitlement,
    pub tasks: usize,
    pub time_left: Duration,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// can't end by its deadline
    Backlog,
    /// its team has used up its share of a busy service
    Quota,
}

/// A refusal with its retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub reason: RefusalReason,
    pub retry_after: Duration,
}

/// Admits submissions to one service.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    settings: Settings,
    usage: TeamUsage,
}

impl Admission {
    pub fn new(settings: Settings) -> Self {
        Self { settings, usage: TeamUsage::default() }
    }

    /// Admits or refuses a submission with all of its tasks. `jitter`, a random
    /// number from 0 to 1, spreads the retries of refused callers.
    ///
    /// # Errors
    /// If it can't end by its deadline, or its team has used up its share.
    pub fn admit(
        &mut self,
        submission: &Submission<'_>,
        load: ServiceLoad,
        jitter: f64,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.usage.on_request(
            submission.team,
            submission.entitlement.weight,
            submission.tasks,
            now,
        );
        let run = load.run_time_of(submission.tasks);
        let max_wait = self.max_wait(submission.time_left, run);
        if run > submission.time_left || load.wait > max_wait {
            return Err(self.refusal(RefusalReason::Backlog, load.wait.max(run), jitter));
        }
        if self.is_contended(submission.entitlement, load) {
            let ratio = self.usage.ratio(submission.team, submission.entitlement, now);
            // waits in the upper half are left to teams below their share
            let most =
                if load.wait > max_wait / 2 { MAX_USAGE_RATIO_LONG_WAIT } else { MAX_USAGE_RATIO };
            if ratio > most {
                return Err(self.refusal(
                    RefusalReason::Quota,
                    TeamUsage::recovery_time(ratio),
                    jitter,
                ));
            }
        }
        self.usage.on_admitted(submission.team, submission.tasks);
        Ok(())
    }

    /// Longest wait with which a submission is admitted. It is bounded for all
    /// submissions, or those with distant deadlines would crowd out the rest.
    fn max_wait(&self, left: Duration, run: Duration) -> Duration {
        let Settings { wait_share, long_wait_share, long_wait, .. } = self.settings;
        let bound = left.mul_f64(long_wait_share).max(long_wait);
        left.saturating_sub(run).mul_f64(wait_share).min(bound)
    }

    /// Whether a team that exceeds its share takes capacity from others. Quotas
    /// keep some slots free; a team without quota may use all idle slots.
    fn is_contended(&self, entitlement: Entitlement, load: ServiceLoad) -> bool {
        match entitlement.quota {
            Some(_) => load.busy_share >= self.settings.lend_below,
            None => !load.wait.is_zero(),
        }
    }

    /// A refusal whose retry delay lasts until the excess is worked off, with a
    /// jitter of up to the same time.
    fn refusal(&self, reason: RefusalReason, after: Duration, jitter: f64) -> Refusal {
        let Settings { min_retry, max_retry, .. } = self.settings;
        let after = after.clamp(min_retry, max_retry);
        Refusal { reason, retry_after: after + after.mul_f64(jitter.clamp(0.0, 1.0)) }
    }
}

impl ServiceLoad {
    /// Time that the tasks of a submission take on all slots.
    fn run_time_of(&self, tasks: usize) -> Duration {
        let rounds = tasks.div_ceil(self.slots.max(1) as usize);
        self.run * rounds as u32
    }
}
