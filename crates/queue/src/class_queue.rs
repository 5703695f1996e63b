use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use base::{Name, invariant};
use slotmap::SlotMap;

use crate::{
    Class, ClassLoad, Classifier, Discipline, PopResult, Refused, RunKey, Settings, Start,
    TaskInfo, Ticket,
};

/// Orders tasks by a target start time that grows with their expected run time,
/// and reserves slots for short work.
pub struct ClassQueue<T> {
    settings: Settings,
    classifier: Classifier,
    waiting: SlotMap<Ticket, Waiting<T>>,
    short: BTreeSet<(Instant, Ticket)>,
    long: BTreeSet<(Instant, Ticket)>,
    /// all tasks, by the latest useful start
    by_start_deadline: BTreeSet<(Instant, Ticket)>,
    running: SlotMap<RunKey, Running>,
}

struct Waiting<T> {
    item: T,
    operation: Name,
    class: Class,
    target_start: Instant,
    start_deadline: Instant,
    deadline: Instant,
}

struct Running {
    operation: Name,
    class: Class,
    started_at: Instant,
}

impl<T> ClassQueue<T> {
    pub fn new(settings: Settings) -> Self {
        Self {
            classifier: Classifier::new(settings.long_factor),
            settings,
            waiting: SlotMap::with_key(),
            short: BTreeSet::new(),
            long: BTreeSet::new(),
            by_start_deadline: BTreeSet::new(),
            running: SlotMap::with_key(),
        }
    }

    fn queue_mut(&mut self, class: Class) -> &mut BTreeSet<(Instant, Ticket)> {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    fn waiting_count(&self, class: Class) -> usize {
        match class {
            Class::Short => self.short.len(),
            Class::Long => self.long.len(),
        }
    }

    fn take(&mut self, ticket: Ticket) -> Option<Waiting<T>> {
        let waiting = self.waiting.remove(ticket)?;
        self.queue_mut(waiting.class).remove(&(waiting.target_start, ticket));
        self.by_start_deadline.remove(&(waiting.start_deadline, ticket));
        invariant!(
            self.short.len() + self.long.len() == self.waiting.len(),
            "class queues hold {} and {} of {} queued tasks",
            self.short.len(),
            self.long.len(),
            self.waiting.len()
        );
        Some(waiting)
    }

    /// Slots taken by long tasks, including short ones that overrun.
    fn long_running(&self, now: Instant) -> usize {
        self.running.values().filter(|r| self.is_long(r, now)).count()
    }

    fn is_long(&self, run: &Running, now: Instant) -> bool {
        run.class == Class::Long
            || now.duration_since(run.started_at) > self.classifier.long_threshold()
    }

    fn long_limit(&self) -> usize {
        match self.classifier.has_short_work() {
            true => self.settings.long_slots(),
            false => self.settings.slots,
        }
    }

    /// The task to start next, if a slot is free for its class.
    fn next_ticket(&self, now: Instant) -> Option<Ticket> {
        if self.running.len() >= self.settings.slots {
            return None;
        }
        let short = self.short.first();
        let long = self.long.first().filter(|_| self.long_running(now) < self.long_limit());
        short.into_iter().chain(long).min().map(|(_, ticket)| *ticket)
    }

    /// Time by which a task should start: after a wait in proportion to its run
    /// time, and no later than its deadline allows.
    fn target_start(&self, expected: Duration, start_deadline: Instant, now: Instant) -> Instant {
        let wait =
            expected.mul_f64(self.settings.target_slowdown).min(self.settings.max_target_wait);
        (now + wait).min(start_deadline)
    }

    fn retry_after(&self, class: Class, now: Instant) -> Duration {
        self.class_load(class, now).wait.max(self.classifier.mean_run(class))
    }

    /// Expected time until each slot open to a class is free, in ascending order.
    fn slot_waits(&self, class: Class, now: Instant) -> Vec<Duration> {
        let left = |r: &Running| {
            self.classifier.remaining_time(&r.operation, now.duration_since(r.started_at))
        };
        let mut waits: Vec<Duration> = match class {
            Class::Short => self.running.values().map(left).collect(),
            Class::Long => {
                let long = self.running.values().filter(|r| self.is_long(r, now));
                long.map(left).collect()
            }
        };
        let open = match class {
            Class::Short => self.settings.slots,
            Class::Long => self.long_limit(),
        };
        waits.resize(open.max(waits.len()), Duration::ZERO);
        waits.sort_unstable();
        waits
    }
}

impl<T> Discipline<T> for ClassQueue<T> {
    fn push(&mut self, task: TaskInfo, item: T, now: Instant) -> Result<Ticket, Refused<T>> {
        let class = self.classifier.class(&task.operation);
        let expected = self.classifier.expected_run(&task.operation);
        let left = task.deadline.saturating_duration_since(now);
        let max_wait = left.saturating_sub(expected).mul_f64(self.settings.wait_share);
        let full = self.waiting.len() >= self.settings.max_queued;
        if full || left <= expected || self.class_load(class, now).wait > max_wait {
            return Err(Refused { item, retry_after: self.retry_after(class, now) });
        }
        let start_deadline = task.deadline - expected;
        let target_start = self.target_start(expected, start_deadline, now);
        let TaskInfo { operation, deadline } = task;
        let ticket = self.waiting.insert(Waiting {
            item,
            operation,
            class,
            target_start,
            start_deadline,
            deadline,
        });
        self.queue_mut(class).insert((target_start, ticket));
        self.by_start_deadline.insert((start_deadline, ticket));
        Ok(ticket)
    }

    fn pop(&mut self, now: Instant) -> PopResult<T> {
        if let Some(&(start_deadline, ticket)) = self.by_start_deadline.first()
            && start_deadline <= now
            && let Some(waiting) = self.take(ticket)
        {
            return PopResult::Late(waiting.item);
        }
        let Some(ticket) = self.next_ticket(now) else { return PopResult::Idle };
        let Some(waiting) = self.take(ticket) else { return PopResult::Idle };
        let Waiting { item, operation, class, deadline, .. } = waiting;
        // the expected run time may have grown since it was queued
        if now + self.classifier.expected_run(&operation) >= deadline {
            return PopResult::Late(item);
        }
        let run = self.running.insert(Running { operation, class, started_at: now });
        invariant!(
            self.running.len() <= self.settings.slots,
            "{} slots taken of {}",
            self.running.len(),
            self.settings.slots
        );
        PopResult::Start(Start { item, run })
    }

    fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.take(ticket).map(|waiting| waiting.item)
    }

    fn resize(&mut self, slots: usize) {
        self.settings.slots = slots;
    }

    fn end(&mut self, run: RunKey, ran: Option<Duration>) {
        let Some(running) = self.running.remove(run) else { return };
        if let Some(ran) = ran {
            self.classifier.observe(&running.operation, ran);
        }
    }

    fn clear(&mut self) -> Vec<T> {
        self.short.clear();
        self.long.clear();
        self.by_start_deadline.clear();
        self.waiting.drain().map(|(_, waiting)| waiting.item).collect()
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.by_start_deadline.first().map(|(start_deadline, _)| *start_deadline)
    }

    fn class_load(&self, class: Class, now: Instant) -> ClassLoad {
        let waits = self.slot_waits(class, now);
        let ahead = self.waiting_count(class);
        let mean = self.classifier.mean_run(class);
        let rounds = (ahead / waits.len()) as u32;
        let wait = mean * rounds + waits[ahead % waits.len()];
        let idle = waits.iter().filter(|left| left.is_zero()).count();
        let unused = self.settings.slots.saturating_sub(self.running.len());
        let free = idle.min(unused).saturating_sub(ahead) as u32;
        ClassLoad { free_slots: free, wait, mean_run: mean }
    }

    fn queued(&self) -> usize {
        self.waiting.len()
    }

    fn running(&self) -> usize {
        self.running.len()
    }
}
