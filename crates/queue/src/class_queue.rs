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

/// Orders tasks by how long they have waited for their run time, short work
/// beside long in slots of its own.
pub struct ClassQueue<T> {
    settings: Settings,
    classes: Classifier,
    waiting: SlotMap<Ticket, Waiting<T>>,
    short: BTreeSet<(Instant, Ticket)>,
    long: BTreeSet<(Instant, Ticket)>,
    /// by the last moment at which a start makes sense
    late: BTreeSet<(Instant, Ticket)>,
    running: SlotMap<RunKey, Running>,
}

struct Waiting<T> {
    item: T,
    operation: Name,
    class: Class,
    /// the earlier, the sooner it starts
    rank: Instant,
    start_by: Instant,
    deadline: Instant,
}

struct Running {
    operation: Name,
    class: Class,
    since: Instant,
}

impl<T> ClassQueue<T> {
    pub fn new(settings: Settings) -> Self {
        Self {
            classes: Classifier::new(settings.long_factor),
            settings,
            waiting: SlotMap::with_key(),
            short: BTreeSet::new(),
            long: BTreeSet::new(),
            late: BTreeSet::new(),
            running: SlotMap::with_key(),
        }
    }

    fn order(&mut self, class: Class) -> &mut BTreeSet<(Instant, Ticket)> {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    fn waiting_of(&self, class: Class) -> usize {
        match class {
            Class::Short => self.short.len(),
            Class::Long => self.long.len(),
        }
    }

    fn take(&mut self, ticket: Ticket) -> Option<Waiting<T>> {
        let waiting = self.waiting.remove(ticket)?;
        self.order(waiting.class).remove(&(waiting.rank, ticket));
        self.late.remove(&(waiting.start_by, ticket));
        invariant!(
            self.short.len() + self.long.len() == self.waiting.len(),
            "orders hold {} and {} of {} queued tasks",
            self.short.len(),
            self.long.len(),
            self.waiting.len()
        );
        Some(waiting)
    }

    /// Slots that hold long work, or work that has turned out long.
    fn long_running(&self, now: Instant) -> usize {
        self.running.values().filter(|r| self.counts_long(r, now)).count()
    }

    fn counts_long(&self, run: &Running, now: Instant) -> bool {
        run.class == Class::Long || now.duration_since(run.since) > self.classes.threshold()
    }

    fn long_limit(&self) -> usize {
        match self.classes.has_short_work() {
            true => self.settings.long_slots(),
            false => self.settings.slots,
        }
    }

    /// The task to start next, short or long.
    fn head(&self, now: Instant) -> Option<Ticket> {
        if self.running.len() >= self.settings.slots {
            return None;
        }
        let short = self.short.first();
        let long = self.long.first().filter(|_| self.long_running(now) < self.long_limit());
        short.into_iter().chain(long).min().map(|(_, ticket)| *ticket)
    }

    /// When a task goes first: after some run times of its own, and before
    /// its deadline is in danger.
    fn rank(&self, expected: Duration, start_by: Instant, now: Instant) -> Instant {
        let patience =
            expected.mul_f64(self.settings.target_slowdown).min(self.settings.max_target_wait);
        (now + patience).min(start_by)
    }

    fn retry_after(&self, class: Class, now: Instant) -> Duration {
        self.class_load(class, now).wait.max(self.classes.mean_run(class))
    }

    /// Expected time until each slot open to a class is free, soonest first.
    fn residuals(&self, class: Class, now: Instant) -> Vec<Duration> {
        let left =
            |r: &Running| self.classes.remaining_time(&r.operation, now.duration_since(r.since));
        let mut busy: Vec<Duration> = match class {
            Class::Short => self.running.values().map(left).collect(),
            Class::Long => {
                let long = self.running.values().filter(|r| self.counts_long(r, now));
                long.map(left).collect()
            }
        };
        let open = match class {
            Class::Short => self.settings.slots,
            Class::Long => self.long_limit(),
        };
        busy.resize(open.max(busy.len()), Duration::ZERO);
        busy.sort_unstable();
        busy
    }
}

impl<T> Discipline<T> for ClassQueue<T> {
    fn push(&mut self, ask: TaskInfo, item: T, now: Instant) -> Result<Ticket, Refused<T>> {
        let class = self.classes.class(&ask.operation);
        let expected = self.classes.expected_run(&ask.operation);
        let left = ask.deadline.saturating_duration_since(now);
        let spare = left.saturating_sub(expected).mul_f64(self.settings.wait_share);
        let full = self.waiting.len() >= self.settings.max_queued;
        if full || left <= expected || self.class_load(class, now).wait > spare {
            return Err(Refused { item, retry_after: self.retry_after(class, now) });
        }
        let start_by = ask.deadline - expected;
        let rank = self.rank(expected, start_by, now);
        let TaskInfo { operation, deadline } = ask;
        let ticket =
            self.waiting.insert(Waiting { item, operation, class, rank, start_by, deadline });
        self.order(class).insert((rank, ticket));
        self.late.insert((start_by, ticket));
        Ok(ticket)
    }

    fn pop(&mut self, now: Instant) -> PopResult<T> {
        if let Some(&(start_by, ticket)) = self.late.first()
            && start_by <= now
            && let Some(waiting) = self.take(ticket)
        {
            return PopResult::Late(waiting.item);
        }
        let Some(ticket) = self.head(now) else { return PopResult::Idle };
        let Some(waiting) = self.take(ticket) else { return PopResult::Idle };
        let Waiting { item, operation, class, deadline, .. } = waiting;
        // run times may have grown since it was queued
        if now + self.classes.expected_run(&operation) >= deadline {
            return PopResult::Late(item);
        }
        let run = self.running.insert(Running { operation, class, since: now });
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
            self.classes.observe(&running.operation, ran);
        }
    }

    fn clear(&mut self) -> Vec<T> {
        self.short.clear();
        self.long.clear();
        self.late.clear();
        self.waiting.drain().map(|(_, waiting)| waiting.item).collect()
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.late.first().map(|(start_by, _)| *start_by)
    }

    fn class_load(&self, class: Class, now: Instant) -> ClassLoad {
        let busy = self.residuals(class, now);
        let ahead = self.waiting_of(class);
        let mean = self.classes.mean_run(class);
        let rounds = (ahead / busy.len()) as u32;
        let wait = mean * rounds + busy[ahead % busy.len()];
        let idle = busy.iter().filter(|left| left.is_zero()).count();
        let taken = self.settings.slots.saturating_sub(self.running.len());
        let free = idle.min(taken).saturating_sub(ahead) as u32;
        ClassLoad { free_slots: free, wait, mean_run: mean }
    }

    fn queued(&self) -> usize {
        self.waiting.len()
    }

    fn running(&self) -> usize {
        self.running.len()
    }
}
