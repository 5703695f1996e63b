//! Restarts and crashes of the backend server, and which of its runs may have caused them.
//! It answers tasks that crash their backend server.

use std::time::Duration;

use base::{Event, Name, Uptime};

use crate::{
    Crash, CrashReport, Effect, RunKey,
    life::Life,
    run::{Run, State, StopReason, Stopping},
    suspicions::Suspicions,
};

use super::{Scheduler, millis};

/// How long a crash is reported.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Number of crashes of the backend server that ended runs.
    pub fn crashes(&self) -> u64 {
        self.crashes
    }

    /// The newest crash of the backend server, for a while: heartbeats with it may be lost.
    pub fn crash_report(&self, now: Uptime) -> Option<&CrashReport> {
        let (report, at) = self.crash_report.as_ref()?;
        (*at + REPORT_PERIOD > now).then_some(report)
    }

    /// Handles the start time of the backend server, if it told one; another one than known
    /// means a restart, which lost all runs.
    pub(super) fn on_start_time(&mut self, started_ms: u64, now: Uptime) {
        if started_ms == 0 || started_ms == self.life.started_ms {
            return;
        }
        let has_announced = self.life.announced.is_some();
        if self.life.started_ms == 0 && !has_announced {
            // the first one of this process
            self.life.started_ms = started_ms;
            return;
        }
        let is_crash = !self.life.is_leaving();
        if is_crash && !self.is_gone {
            self.report_crash(now);
        }
        self.life = Life::new(started_ms);
        let active: Vec<RunKey> = self.active_runs().collect();
        Event::BackendRestarted
            .note(&[("born", started_ms.into()), ("runs", (active.len() as u64).into())]);
        self.effects.push(Effect::RaiseFence);
        if is_crash {
            self.record_crash(&active, now);
        }
        self.return_queued("backend server started anew", now);
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

    /// Makes a crash known to entries as soon as it is noticed, while its runs may still
    /// have to be waited for.
    pub(super) fn report_crash(&mut self, now: Uptime) {
        if self.life.announced.is_none() || self.life.is_leaving() {
            return;
        }
        let number = self.crash_report.as_ref().map_or(0, |(report, _)| report.number) + 1;
        let chances = self.start_rates.chances(self.silent_since.unwrap_or(now));
        self.crash_report = Some((CrashReport { number, chances }, now));
    }

    /// Records a crash of the backend server that ended these runs, and how likely each
    /// of them has caused it.
    pub(super) fn record_crash(&mut self, active: &[RunKey], now: Uptime) {
        if active.is_empty() {
            return;
        }
        self.crashes += 1;
        let crashed_at = self.silent_since.unwrap_or(now);
        let runs = active.iter().filter_map(|key| self.runs.get(*key));
        // those ordered later can't have caused it
        let ages =
            runs.filter_map(|r| Some((self.job_of(r), crashed_at.checked_sub(r.ordered_at)?)));
        let suspicions = Suspicions::new(ages);
        for key in active {
            let Some(job) = self.runs.get(*key).map(|run| self.job_of(run)) else { continue };
            let Some(run) = self.runs.get_mut(*key) else { continue };
            let suspicion = suspicions.of(&job);
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

    /// Queue and job of a run.
    fn job_of(&self, run: &Run) -> (Name, Name) {
        let queue = self.batches.get(run.batch).map(|b| b.queue.clone()).unwrap_or_default();
        (queue, run.task.job.clone())
    }
}
