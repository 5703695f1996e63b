use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use slotmap::SlotMap;

use crate::{
    Class, ClassLoad, Discipline, PopResult, Refused, RunKey, Settings, Start, TaskInfo, Ticket,
};

/// Weight of the newest run in the moving average of the run time.
const MEAN_WEIGHT: f64 = 0.1;

/// First in, first out, as a baseline.
pub struct Fifo<T> {
    settings: Settings,
    items: SlotMap<Ticket, Waiting<T>>,
    order: VecDeque<Ticket>,
    running: SlotMap<RunKey, ()>,
    mean: Duration,
}

struct Waiting<T> {
    item: T,
    deadline: Instant,
}

impl<T> Fifo<T> {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            items: SlotMap::with_key(),
            order: VecDeque::new(),
            running: SlotMap::with_key(),
            mean: Duration::ZERO,
        }
    }

    /// Drops tickets at the front whose tasks were removed.
    fn trim(&mut self) {
        while self.order.front().is_some_and(|t| !self.items.contains_key(*t)) {
            self.order.pop_front();
        }
    }
}

impl<T> Discipline<T> for Fifo<T> {
    fn push(&mut self, task: TaskInfo, item: T, _: Instant) -> Result<Ticket, Refused<T>> {
        if self.items.len() >= self.settings.max_queued {
            let retry_after = self.mean * self.items.len() as u32 / self.settings.slots as u32;
            return Err(Refused { item, retry_after });
        }
        let ticket = self.items.insert(Waiting { item, deadline: task.deadline });
        self.order.push_back(ticket);
        Ok(ticket)
    }

    fn pop(&mut self, now: Instant) -> PopResult<T> {
        self.trim();
        let Some(&ticket) = self.order.front() else { return PopResult::Idle };
        let late = self.items.get(ticket).is_some_and(|w| w.deadline <= now);
        if !late && self.running.len() >= self.settings.slots {
            return PopResult::Idle;
        }
        self.order.pop_front();
        match self.items.remove(ticket) {
            Some(waiting) if late => PopResult::Late(waiting.item),
            Some(waiting) => {
                PopResult::Start(Start { item: waiting.item, run: self.running.insert(()) })
            }
            None => PopResult::Idle,
        }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let waiting = self.items.remove(ticket)?;
        self.trim();
        Some(waiting.item)
    }

    fn resize(&mut self, slots: usize) {
        self.settings.slots = slots;
    }

    fn end(&mut self, run: RunKey, ran: Option<Duration>) {
        self.running.remove(run);
        match ran {
            Some(ran) if self.mean.is_zero() => self.mean = ran,
            Some(ran) => {
                self.mean = self.mean.mul_f64(1.0 - MEAN_WEIGHT) + ran.mul_f64(MEAN_WEIGHT);
            }
            None => {}
        }
    }

    fn clear(&mut self) -> Vec<T> {
        self.order.clear();
        self.items.drain().map(|(_, waiting)| waiting.item).collect()
    }

    fn next_expiry(&self) -> Option<Instant> {
        let head = self.order.front()?;
        self.items.get(*head).map(|w| w.deadline)
    }

    fn class_load(&self, _: Class, _: Instant) -> ClassLoad {
        let free = self.settings.slots.saturating_sub(self.running.len() + self.items.len());
        let waiting = self.items.len() + self.running.len();
        let wait = match free {
            0 => self.mean * waiting as u32 / self.settings.slots as u32,
            _ => Duration::ZERO,
        };
        ClassLoad { free_slots: free as u32, wait, mean_run: self.mean }
    }

    fn queued(&self) -> usize {
        self.items.len()
    }

    fn running(&self) -> usize {
        self.running.len()
    }
}
