//! When runs are expected to end and queued tasks to start. It answers estimates that are
//! off, and backend servers of different speed.

use std::time::Duration;

use base::{Event, Uptime};

use crate::{
    CLASSES, Resources,
    plan::{Occupancy, Plan},
    run::{ProgressTracker, Run, State},
};

use super::{Scheduler, millis};

/// Expected time until a run ends whose stop was ordered.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Least percentage of progress from which the end of a run is extrapolated.
const EXTRAPOLATED_PERCENT: u32 = 10;
/// Part of its expected run time that a run is expected to go on for at least,
/// as estimates are too low by up to 40 %.
const OVERRUN_DIVISOR: u32 = 10;
/// The least that any run is expected to go on for.
const MIN_REST: Duration = Duration::from_millis(1);

impl Scheduler {
    /// Whether the backend server is slow because it started recently.
    pub fn is_cold(&self, now: Uptime) -> bool {
        now < self.cold_until()
    }

    fn cold_until(&self) -> Uptime {
        self.life.announced.as_ref().map(|b| b.cold_until).unwrap_or_default()
    }

    /// End of the newest cold period after an announcement that it lasts for
    /// `remaining` more.
    pub(super) fn next_cold_end(&self, remaining: Duration, now: Uptime) -> Uptime {
        let was_cold = self.is_cold(now);
        if remaining.is_zero() {
            if was_cold {
                Event::BackendWarm.note(&[]);
            }
            return self.cold_until().min(now);
        }
        if !was_cold {
            Event::BackendCold.note(&[("remaining_ms", millis(remaining).into())]);
        }
        now + remaining
    }

    /// Records the run time of a task, unless its run began on a cold backend server,
    /// whose times say nothing about its usual speed.
    pub(super) fn observe_speed(
        &mut self,
        ordered_at: Uptime,
        run_time: Duration,
        estimate: Duration,
    ) {
        if ordered_at >= self.cold_until() {
            self.speed.observe(run_time, estimate);
        }
    }

    /// Whether tasks of several classes compete, or did so lately.
    pub(super) fn is_mixed(&self, now: Uptime) -> bool {
        now < self.mixed_until || self.queue.counts()[1..].iter().any(|count| *count > 0)
    }

    /// Order and expected times of the starts of the queued runs.
    pub(super) fn plan(&self, run_factor: f64, now: Uptime) -> Plan<'_> {
        let capacity = self.life.announced.as_ref().map(|b| b.capacity).unwrap_or_default();
        let mut occupancy = Occupancy::new(now.max(self.next_start), capacity, self.free());
        for run in self.runs.values().filter(|r| r.is_active()) {
            occupancy.add_run(self.expected_end(run, run_factor, now), self.resources_of(run));
        }
        Plan::new(&self.queue, &self.shares, occupancy, self.speed.slowness(), run_factor)
    }

    /// Expected end of an active run: by its progress, else by its estimate.
    pub(super) fn expected_end(&self, run: &Run, run_factor: f64, now: Uptime) -> Uptime {
        if let State::Stopping(_) = run.state {
            return now + STOP_TIME;
        }
        let ProgressTracker { percent, changed_at, .. } = run.progress;
        let run_time = if percent >= EXTRAPOLATED_PERCENT {
            changed_at.saturating_sub(run.ordered_at).mul_f64(100.0 / f64::from(percent))
        } else {
            let estimate = self.batches.get(run.batch).map(|b| b.estimate).unwrap_or_default();
            self.expected_run_time(estimate).mul_f64(run_factor)
        };
        (run.ordered_at + run_time).max(now + (run_time / OVERRUN_DIVISOR).max(MIN_REST))
    }

    fn expected_run_time(&self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.speed.slowness())
    }

    /// Expected wait of one more task of each class, of the mean size of the
    /// active runs.
    pub(super) fn class_waits(&self, now: Uptime) -> [Duration; CLASSES] {
        let resources = Resources { cpu: self.mean_cpu() as u32, ..Resources::default() };
        self.plan(1.0, now).class_starts(resources).map(|start| start.saturating_sub(now))
    }

    /// Expected wait of a task queued after those that must start by `start_deadline`.
    pub(super) fn expected_wait(&self, start_deadline: Uptime) -> Duration {
        let ahead: f64 = self
            .queue
            .iter()
            .take_while(|(deadline, _)| *deadline <= start_deadline)
            .filter_map(|(_, key)| self.runs.get(key))
            .map(|run| f64::from(self.resources_of(run).cpu))
            .sum();
        // the task itself counts with the mean of the active runs
        self.time_to_free(ahead + self.mean_cpu(), self.free())
    }

    /// Expected time until `cpu` millicores are free, with `free` now.
    pub(super) fn time_to_free(&self, cpu: f64, free: Resources) -> Duration {
        let Some(backend) = &self.life.announced else { return Duration::ZERO };
        let missing = (cpu - f64::from(free.cpu)).max(0.0);
        self.speed.mean().mul_f64(missing / f64::from(backend.capacity.cpu.max(1)))
    }

    /// Mean of the millicores that active runs use; 0 if there are none.
    fn mean_cpu(&self) -> f64 {
        let cpus =
            self.active_runs().filter_map(|k| self.runs.get(k)).map(|r| self.resources_of(r).cpu);
        let (count, sum) = cpus.fold((0u32, 0.0), |(n, sum), cpu| (n + 1, sum + f64::from(cpu)));
        sum / f64::from(count.max(1))
    }
}
