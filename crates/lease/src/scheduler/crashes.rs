//! Restarts and crashes of the backend server, and which of its runs may have caused them.
//! It answers tasks that crash their backend server.

use std::time::Duration;

use base::{Event, Name, Uptime};

use crate::{
    Crash, CrashReport, Effect, RunKey,
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

    /// Handles the start time of the backend server; a later one than known means
    /// a restart, which lost all runs.
    pub(super) fn on_incarnation(&mut self, started_ms: u64, now: Uptime) {
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
        if !self.is_gone {
            self.report_crash(now);
        }
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

    /// Makes a crash known to entries as soon as it is noticed, while its runs may still
    /// have to be waited for.
    pub(super) fn report_crash(&mut self, now: Uptime) {
        if self.backend.is_none() || self.is_draining() {
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
