//! What a listing of the backend server says of its runs: progress, ends, stalls and runs
//! that nobody ordered. It answers listings that are lost, late or out of order.

use std::{collections::HashMap, time::Duration};

use base::{Event, Uptime};

use crate::{
    Effect, EndCause, Ending, Listing, RunEnd, RunKey, RunProgress, StopOrder, TaskRef,
    life::Orphan,
    run::{State, StopReason, Stopping},
};

use super::{MAX_FAILED_LISTINGS, Scheduler};

/// Share of the work at which the speed of a run is sampled.
const SAMPLE_PERCENT: u32 = 40;
/// A run has stalled after this time without progress, or after
/// [`STALL_STEPS`] times its own longest step if that is more.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Multiple of the longest step of a run after which it has stalled.
const STALL_STEPS: u32 = 5;
/// Multiple of these times on a cold backend server, whose runs are slower at first.
const COLD_STALL_FACTOR: u32 = 2;

impl Scheduler {
    /// Handles a listing of the backend server.
    pub fn on_listing(&mut self, listing: &Listing, now: Uptime) {
        if self.failed_listings >= MAX_FAILED_LISTINGS {
            Event::BackendResponsive.note(&[("missed", self.failed_listings.into())]);
        }
        self.failed_listings = 0;
        self.is_doubtful = false;
        self.on_start_time(listing.started_ms, now);
        self.silent_since = None;
        self.is_gone = false;
        self.expire_sessions(now);
        // an answer is held back for at most the renewal interval: one that was read later,
        // because this agent was suspended, is older than it looks
        let wait = self.settings.timings.renewal_interval();
        let seen_at = now.min(listing.requested_at + wait);
        let mut orphans = Vec::new();
        for run in &listing.running {
            if !self.on_progress(run, seen_at, now) {
                orphans.push(StopOrder { task: run.task.clone(), run: run.run });
            }
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
        self.set_orphans(orphans, now);
        self.advance(now);
    }

    /// Handles the failure of a listing because nothing listens at the address of the
    /// backend server.
    pub fn on_not_listening(&mut self, now: Uptime) {
        self.is_doubtful = true;
        let was_gone = std::mem::replace(&mut self.is_gone, true);
        self.on_listing_failed(now);
        if !was_gone {
            self.report_crash(now);
        }
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

    /// Sequence number of the newest end processed.
    pub fn last_acked(&self) -> u64 {
        self.life.last_acked
    }

    /// Handles a run that the backend server listed as running at `seen_at`. False
    /// for an orphan run.
    fn on_progress(&mut self, row: &RunProgress, seen_at: Uptime, now: Uptime) -> bool {
        let key = self.run_by_task.get(&row.task).copied();
        let Some((key, run)) = key.and_then(|k| Some((k, self.runs.get_mut(k)?))) else {
            // this listing was overtaken by the one with the end of the run
            if self.life.ended_runs.get(&row.task).is_some_and(|(run, _)| *run >= row.run) {
                return true;
            }
            return false;
        };
        if run.number != row.run {
            return false;
        }
        run.has_run = true;
        match run.state {
            State::Queued => return false,
            State::Starting => run.state = State::Running(now),
            State::Running(_) => {}
            State::Stopping(_) => return true,
        }
        self.track_progress(key, row.percent, seen_at, now);
        true
    }

    /// Stops the orphan runs of a listing that the one before lacks.
    fn set_orphans(&mut self, listed: Vec<StopOrder>, now: Uptime) {
        let known = std::mem::take(&mut self.life.orphans);
        let had_orphans = !known.is_empty();
        let mut known: HashMap<StopOrder, Orphan> =
            known.into_iter().map(|o| (o.stop.clone(), o)).collect();
        for stop in listed {
            let orphan = known.remove(&stop).unwrap_or_else(|| {
                Event::OrphanRun.note(&[
                    ("job", (&*stop.task.job).into()),
                    ("index", stop.task.index.into()),
                    ("run", stop.run.into()),
                ]);
                self.effects.push(Effect::Stop(stop.clone()));
                Orphan { stop, ordered_at: now, is_confirmed: false }
            });
            self.life.orphans.push(orphan);
        }
        self.life.is_listed = true;
        let count = self.life.orphans.len() as u64;
        if (count > 0) != had_orphans {
            let own = self.active_runs().count() as u64;
            let event = if had_orphans { Event::LeaseResumed } else { Event::LeaseWithheld };
            event.note(&[("orphans", count.into()), ("runs", own.into())]);
        }
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
        if row.sequence <= self.life.last_acked {
            return;
        }
        self.life.last_acked = row.sequence;
        self.life.ended_runs.insert(row.task.clone(), (row.run, now));
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
}
