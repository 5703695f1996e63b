//! Batches of tasks that entries place here: which are accepted, what entries learn of them,
//! and when they are forgotten. It answers more work than fits, and lost or repeated calls.

use std::sync::Arc;
use std::time::Duration;

use base::{Event, Name, Uptime, invariant};

use crate::{
    Batch, BatchLookup, BatchTask, Class, Effect, Ending, Progress, RunKey, SessionId, TaskRef,
    TaskResult,
    batch::{BatchKey, BatchState},
    run::{State, StopReason},
};

use super::{BATCH_RETENTION, MIXED_PERIOD, OVERSIZED, Scheduler, kept_until, millis};

/// How long ended runs are remembered; must exceed the delay by which listings
/// can arrive out of order.
const ENDED_RUN_RETENTION: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Queues the tasks of a batch; those that can't be accepted, for example
    /// because they can't start in time, are returned at once. A batch whose number
    /// is known already is not queued again.
    pub fn place(&mut self, id: SessionId, batch: Batch, now: Uptime) -> BatchKey {
        self.add(id, batch, None, now)
    }

    /// Returns all tasks of a batch at once.
    pub fn decline(
        &mut self,
        id: SessionId,
        batch: Batch,
        reason: &'static str,
        now: Uptime,
    ) -> BatchKey {
        self.add(id, batch, Some(reason), now)
    }

    fn add(
        &mut self,
        id: SessionId,
        batch: Batch,
        decline: Option<&'static str>,
        now: Uptime,
    ) -> BatchKey {
        self.expire_sessions(now);
        if let Some(key) = self.batch_by_number.get(&(id, batch.number)) {
            return *key;
        }
        let tasks = batch.tasks.clone();
        let start_deadline = now + batch.max_wait.min(batch.time_left);
        // a task that is here for another batch may run, so the job can't be said not
        // to have run
        let started = tasks.iter().any(|task| self.is_here(&batch, task.index));
        let class = batch.class;
        if class > Class::default() {
            self.mixed_until = now + MIXED_PERIOD;
        }
        let centre = self.sessions.get(&id).map(|s| s.centre.clone()).unwrap_or_default();
        let key = self.batches.insert(BatchState {
            session: id,
            number: batch.number,
            job: batch.job.clone(),
            queue: batch.queue,
            spec: batch.spec,
            resources: batch.resources,
            estimate: batch.estimate,
            class,
            centre,
            results: Vec::new(),
            pending: tasks.len() as u32,
            started,
            kept_until: kept_until(now, batch.time_left),
            ended_at: None,
        });
        self.batch_by_number.insert((id, batch.number), key);
        let mut queued = 0u32;
        for task in &tasks {
            if decline.is_none() && self.queue.len() >= self.settings.max_queued {
                self.evict_behind(class, now);
            }
            match decline.or_else(|| self.refusal(id, key, *task, start_deadline, now)) {
                Some(reason) => self.reject(key, *task, reason, now),
                None => {
                    queued += 1;
                    self.enqueue(key, *task, start_deadline, now);
                }
            }
        }
        Event::BatchQueued.note(&[
            ("job", (&*batch.job).into()),
            ("session", id.0.into()),
            ("batch", batch.number.into()),
            ("queued", queued.into()),
            ("asked", (tasks.len() as u64).into()),
            ("wait_ms", millis(batch.max_wait).into()),
            ("free_cpu", self.free().cpu.into()),
            ("waiting", (self.queue.len() as u64).into()),
        ]);
        self.advance(now);
        key
    }

    /// Finds a batch by the number that its entry gave it.
    pub fn find(&self, id: SessionId, number: u64) -> Option<BatchKey> {
        self.batch_by_number.get(&(id, number)).copied()
    }

    /// Looks up a batch that was sent at `sent_at` or later, on this agent's clock,
    /// for a caller who waited for `time_left` from then on. A number that is not
    /// known is barred, so that its batch is rejected if it arrives after all.
    pub fn look_up(
        &mut self,
        id: SessionId,
        number: u64,
        sent_at: Uptime,
        time_left: Duration,
        now: Uptime,
    ) -> BatchLookup {
        if let Some(key) = self.find(id, number) {
            return BatchLookup::Known(key);
        }
        self.bar(id, number, now);
        // had it been received, it would have been kept at least until then
        let is_forgotten = kept_until(sent_at, time_left) < now;
        Event::BatchUnknown.note(&[
            ("session", id.0.into()),
            ("batch", number.into()),
            ("sent_ms", millis(now.saturating_sub(sent_at)).into()),
            ("forgotten", is_forgotten.into()),
        ]);
        if is_forgotten { BatchLookup::Forgotten } else { BatchLookup::NeverReceived }
    }

    /// Rejects the batch with a number that is not known, if it arrives after all.
    pub fn bar(&mut self, id: SessionId, number: u64, now: Uptime) {
        self.barred.insert((id, number), now);
    }

    /// Progress of a batch beyond the first `after` results; `None` for an
    /// unknown batch, and until all tasks have ended or a new result has an
    /// ending other than `Done`.
    pub fn progress(&self, key: BatchKey, after: usize, now: Uptime) -> Option<Progress> {
        let batch = self.batches.get(key)?;
        let new = batch.results.get(after..).unwrap_or_default();
        let is_due = batch.pending == 0 || new.iter().any(|r| r.ending != Ending::Done);
        is_due.then(|| Progress {
            results: new.to_vec(),
            pending: batch.pending,
            load: self.load(now),
            started: batch.started,
        })
    }

    /// Stops the runs of a batch that its entry no longer wants.
    pub fn cancel_batch(&mut self, key: BatchKey, now: Uptime) {
        let runs: Vec<RunKey> = self.runs_of(key).collect();
        for run in runs {
            self.stop_run(run, StopReason::Cancelled, now);
        }
        self.advance(now);
    }

    pub(super) fn forget_ended(&mut self, now: Uptime) {
        self.life.forget_ended(ENDED_RUN_RETENTION, now);
        self.barred.retain(|_, at| *at + BATCH_RETENTION > now);
        let is_old = |b: &BatchState| {
            b.kept_until < now && b.ended_at.is_some_and(|at| at + BATCH_RETENTION < now)
        };
        let batch_by_number = &mut self.batch_by_number;
        self.batches.retain(|_, batch| {
            let keep = !is_old(batch);
            if !keep {
                batch_by_number.remove(&(batch.session, batch.number));
            }
            keep
        });
    }

    /// Why a task is returned at once; `None` when it may be queued.
    fn refusal(
        &self,
        id: SessionId,
        key: BatchKey,
        task: BatchTask,
        start_deadline: Uptime,
        now: Uptime,
    ) -> Option<&'static str> {
        if !self.sessions.contains_key(&id) {
            return Some("session lapsed");
        }
        let batch = self.batches.get(key)?;
        if self.barred.contains_key(&(id, batch.number)) {
            return Some("its entry was told that it is unknown");
        }
        if let Some(reason) = self.unready_reason() {
            return Some(reason);
        }
        if !self.is_trusted(now) {
            return Some("backend server is suspect");
        }
        if self.run_by_task.contains_key(&TaskRef { job: batch.job.clone(), index: task.index }) {
            return Some("a run with the name of the task is here");
        }
        let capacity = self.life.announced.as_ref().map(|b| b.capacity).unwrap_or_default();
        if !batch.resources.fits(capacity) {
            return Some(OVERSIZED);
        }
        if self.queue.len() >= self.settings.max_queued {
            return Some("queue is full");
        }
        // of several classes, the order decides once the whole batch is queued
        if self.is_mixed(now) {
            return None;
        }
        let fits = self.queue.is_empty() && batch.resources.fits(self.free());
        if !fits && now + self.expected_wait(start_deadline) > start_deadline {
            return Some("no room in time");
        }
        None
    }

    /// Returns a task that was not accepted into the queue.
    fn reject(&mut self, key: BatchKey, task: BatchTask, reason: &str, now: Uptime) {
        let result = TaskResult {
            index: task.index,
            run: task.run,
            ending: Ending::NotRun,
            reason: reason.into(),
            run_time: Duration::ZERO,
            crash: None,
        };
        self.record_result(key, result, now);
    }

    pub(super) fn end_run(&mut self, key: RunKey, ending: Ending, reason: &str, now: Uptime) {
        let Some(run) = self.runs.remove(key) else { return };
        self.run_by_task.remove(&run.task);
        let run_time = match run.state {
            State::Queued => Duration::ZERO,
            _ => now.saturating_sub(run.ordered_at),
        };
        if ending == Ending::Done && !run.progress.is_sampled {
            let estimate = self.batches.get(run.batch).map(|b| b.estimate).unwrap_or_default();
            self.observe_speed(run.ordered_at, run_time, estimate);
        }
        Event::TaskEnded.note(&[
            ("job", (&*run.task.job).into()),
            ("index", run.task.index.into()),
            ("run", run.number.into()),
            ("ending", format!("{ending:?}").as_str().into()),
            ("why", reason.into()),
            ("ran_ms", millis(run_time).into()),
        ]);
        let result = TaskResult {
            index: run.task.index,
            run: run.number,
            ending,
            reason: reason.into(),
            run_time,
            crash: run.crash,
        };
        self.record_result(run.batch, result, now);
    }

    fn record_result(&mut self, key: BatchKey, result: TaskResult, now: Uptime) {
        let Some(batch) = self.batches.get_mut(key) else { return };
        invariant!(batch.pending > 0, "more results than tasks in a batch of {}", batch.job);
        batch.pending = batch.pending.saturating_sub(1);
        if result.ending == Ending::NotRun {
            self.returned[batch.class.index()] += 1;
        }
        if batch.pending == 0 {
            batch.ended_at = Some(now);
            batch.spec = Arc::default();
        }
        let is_due = batch.pending == 0 || result.ending != Ending::Done;
        batch.results.push(result);
        if is_due {
            self.effects.push(Effect::Reply(key));
        }
    }

    /// Whether a task of a batch is here for another batch of the same job.
    fn is_here(&self, batch: &Batch, index: u32) -> bool {
        let task = TaskRef { job: batch.job.clone(), index };
        let run = self.run_by_task.get(&task).and_then(|key| self.runs.get(*key));
        let other = run.and_then(|run| self.batches.get(run.batch));
        // older entries name no queue
        let is_same = |queue: &Name| *queue == batch.queue || queue.is_empty();
        other.is_some_and(|other| is_same(&other.queue) || batch.queue.is_empty())
    }

    fn runs_of(&self, batch: BatchKey) -> impl Iterator<Item = RunKey> + '_ {
        self.runs.iter().filter(move |(_, r)| r.batch == batch).map(|(key, _)| key)
    }
}
