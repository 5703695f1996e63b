//! Which queued task starts next, and the orders to start. It answers a lasting shortage, in
//! which some tasks never get their turn in time.

use std::time::Duration;

use base::{Event, Uptime, invariant};

use crate::{
    BatchTask, Class, Effect, Ending, RefusalReason, Resources, RunKey, StartOrder, StartOutcome,
    TaskRef,
    batch::BatchKey,
    queue::{Slot, Waiting},
    run::{ProgressTracker, Run, State, StopReason},
    shares::core_seconds,
};

use super::{CentreState, LEAST_RUN_TIME, MIXED_PERIOD, Scheduler};

/// Pause of starts after the backend server rejected one for lack of capacity.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(20);

impl Scheduler {
    /// Handles the outcome of a start order.
    pub fn on_start_outcome(&mut self, key: RunKey, outcome: StartOutcome, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        if run.state != State::Starting {
            // a stop was ordered meanwhile, or a listing was faster
            return;
        }
        match outcome {
            StartOutcome::Accepted => {
                run.state = State::Running(now);
                run.has_run = true;
            }
            StartOutcome::Indeterminate => {
                Event::OrderUnanswered.note(&[
                    ("job", (&*run.task.job).into()),
                    ("index", run.task.index.into()),
                    ("run", run.number.into()),
                ]);
                // the order may still be carried out: a stop voids it
                self.stop_run(key, StopReason::Unanswered, now);
            }
            StartOutcome::Rejected(reason) => self.on_start_rejected(key, reason, now),
        }
        self.advance(now);
    }

    pub(super) fn start_queued(&mut self, now: Uptime) {
        if self.unready_reason().is_some() || self.is_doubtful || self.next_start > now {
            return;
        }
        for (slot, resources) in self.next_starts(now) {
            let (_, key) = slot;
            if !resources.fits(self.free()) || self.renew_lease(now).is_none() {
                return;
            }
            self.queue.remove(slot);
            self.order_start(key, now);
        }
    }

    /// The queued runs that start now, in order, and what they need.
    fn next_starts(&self, now: Uptime) -> Vec<(Slot, Resources)> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        if self.is_mixed(now) {
            let mut plan = self.plan(LEAST_RUN_TIME, now);
            // those that can't start in time are returned, and delay no other
            let planned = std::iter::from_fn(|| plan.next()).filter(|p| p.start.is_some());
            let next = planned.take_while(|p| p.start.is_some_and(|start| start <= now));
            return next.map(|p| (p.slot, p.resources)).collect();
        }
        let mut free = self.free();
        let needs = |slot: Slot| Some((slot, self.resources_of(self.runs.get(slot.1)?)));
        let fits = |(_, resources): &(Slot, Resources)| {
            let fits = resources.fits(free);
            free = free.minus(*resources);
            fits
        };
        self.queue.iter().filter_map(needs).take_while(fits).collect()
    }

    fn order_start(&mut self, key: RunKey, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let Some(batch) = self.batches.get_mut(run.batch) else { return };
        invariant!(
            self.sessions.contains_key(&batch.session),
            "start of {} for a session that has expired",
            run.task
        );
        invariant!(
            self.centre != CentreState::Drained,
            "start of {} in a drained data centre",
            run.task
        );
        run.state = State::Starting;
        run.ordered_at = now;
        batch.started = true;
        let run_time = batch.estimate.mul_f64(self.speed.slowness());
        let used = core_seconds(batch.resources.cpu, run_time);
        self.shares.record(batch.class, &batch.centre, used, now);
        self.started[batch.class.index()] += 1;
        self.start_rates.record(&batch.queue, &batch.job, now);
        if batch.class > Class::default() {
            self.mixed_until = now + MIXED_PERIOD;
        }
        self.effects.push(Effect::Start(StartOrder {
            key,
            task: run.task.clone(),
            run: run.number,
            spec: batch.spec.clone(),
        }));
    }

    fn on_start_rejected(&mut self, key: RunKey, reason: RefusalReason, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        Event::OrderRefused.note(&[
            ("job", (&*run.task.job).into()),
            ("index", run.task.index.into()),
            ("run", run.number.into()),
            ("why", format!("{reason:?}").as_str().into()),
        ]);
        if let Some(batch) = self.batches.get(run.batch) {
            // with the speed at the order, unless a run has ended meanwhile
            let run_time = batch.estimate.mul_f64(self.speed.slowness());
            let used = core_seconds(batch.resources.cpu, run_time);
            self.shares.withdraw(batch.class, &batch.centre, used, run.ordered_at);
        }
        match reason {
            RefusalReason::Room => {
                self.next_start = now + START_RETRY_INTERVAL;
                self.requeue(key, now);
            }
            RefusalReason::Old => {
                // the backend server has seen this or a higher number, from an earlier job
                // or process, unknown here: doubling passes it in few attempts
                run.number = run.number.saturating_mul(2);
                self.requeue(key, now);
            }
            RefusalReason::Late | RefusalReason::Fenced | RefusalReason::OtherLife => {
                self.requeue(key, now);
            }
            RefusalReason::Busy => {
                self.record_failure(now);
                self.end_run(key, Ending::NotRun, "backend server refused it", now);
            }
            RefusalReason::Invalid => {
                self.end_run(key, Ending::NotRun, "backend server can't read the order", now);
            }
        }
    }

    pub(super) fn requeue(&mut self, key: RunKey, now: Uptime) {
        if self.unready_reason().is_some() {
            return self.end_run(key, Ending::NotRun, "backend server takes no new work", now);
        }
        let Some(run) = self.runs.get_mut(key) else { return };
        run.state = State::Queued;
        run.has_run = false;
        run.progress = ProgressTracker::default();
        let (slot, batch) = ((run.start_deadline, key), run.batch);
        self.push_queued(slot, batch);
    }

    fn push_queued(&mut self, slot: Slot, batch: BatchKey) {
        let Some(batch) = self.batches.get(batch) else { return };
        let waiting = Waiting { resources: batch.resources, estimate: batch.estimate };
        self.queue.insert(slot, batch.class, &batch.centre, waiting);
    }

    pub(super) fn enqueue(
        &mut self,
        batch: BatchKey,
        task: BatchTask,
        start_deadline: Uptime,
        now: Uptime,
    ) {
        let Some(state) = self.batches.get(batch) else { return };
        let task_ref = TaskRef { job: state.job.clone(), index: task.index };
        let key = self.runs.insert(Run {
            batch,
            task: task_ref.clone(),
            number: task.run.max(1),
            start_deadline,
            state: State::Queued,
            ordered_at: now,
            progress: ProgressTracker::default(),
            has_run: false,
            session_end: None,
            crash: None,
        });
        self.run_by_task.insert(task_ref, key);
        self.push_queued((start_deadline, key), batch);
    }
}
