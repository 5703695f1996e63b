//! Which queued tasks are returned, so that they run elsewhere: those that can't start in
//! time, or not here. It answers queues that are longer than the time left.

use base::Uptime;

use crate::{Class, Ending, Resources, queue::Slot};

use super::{LEAST_RUN_TIME, OVERSIZED, Scheduler};

impl Scheduler {
    pub(super) fn return_overdue(&mut self, now: Uptime) {
        while let Some(slot) = self.queue.first().filter(|(deadline, _)| *deadline < now) {
            self.queue.remove(slot);
            self.end_run(slot.1, Ending::NotRun, "no room in time", now);
        }
    }

    /// Returns tasks that can't start in time because of those that start before
    /// them, while they can still end in time elsewhere.
    pub(super) fn return_hopeless(&mut self, now: Uptime) {
        for slot in self.hopeless(now) {
            self.queue.remove(slot);
            self.end_run(slot.1, Ending::NotRun, "no room expected in time", now);
        }
    }

    fn hopeless(&self, now: Uptime) -> Vec<Slot> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        if self.is_mixed(now) {
            let mut plan = self.plan(LEAST_RUN_TIME, now);
            let planned = std::iter::from_fn(|| plan.next());
            return planned.filter(|p| p.start.is_none()).map(|p| p.slot).collect();
        }
        let free = self.free();
        let mut ahead = 0.0;
        let is_hopeless = |(deadline, key): &Slot| {
            let Some(run) = self.runs.get(*key) else { return false };
            let cpu = f64::from(self.resources_of(run).cpu);
            let is_late = now + self.time_to_free(ahead + cpu, free) > *deadline;
            ahead += if is_late { 0.0 } else { cpu };
            is_late
        };
        self.queue.iter().filter(is_hopeless).collect()
    }

    /// Makes room in a full queue for a task, by returning the last one of the least
    /// urgent class, if that is less urgent.
    pub(super) fn evict_behind(&mut self, class: Class, now: Uptime) {
        let Some(slot) = self.queue.last_behind(class) else { return };
        self.queue.remove(slot);
        self.end_run(slot.1, Ending::NotRun, "queue is full", now);
    }

    /// Returns queued tasks that need more than the whole capacity, which may shrink.
    pub(super) fn return_oversized(&mut self, capacity: Resources, now: Uptime) {
        let needs = |slot: &Slot| self.runs.get(slot.1).map(|run| self.resources_of(run));
        let is_oversized = |slot: &Slot| needs(slot).is_some_and(|needed| !needed.fits(capacity));
        let oversized: Vec<Slot> = self.queue.iter().filter(is_oversized).collect();
        for slot in oversized {
            self.queue.remove(slot);
            self.end_run(slot.1, Ending::NotRun, OVERSIZED, now);
        }
    }

    /// Returns all queued tasks to their entries.
    pub(super) fn return_queued(&mut self, reason: &str, now: Uptime) {
        for (_, key) in self.queue.take_all() {
            self.end_run(key, Ending::NotRun, reason, now);
        }
    }
}
