use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use base::{Uptime, uptime};
use tokio::sync::Notify;

/// Jobs that wait: some can still end in time once an agent has free capacity,
/// others only late. These get capacity that no other job needs: a late answer is
/// worth less than a timely one, but more than none.
#[derive(Default)]
pub struct Backlog {
    waiting: RefCell<BTreeMap<Position, Rc<Waiting>>>,
    last_number: Cell<u64>,
}

/// Order in the backlog: by priority, then by arrival here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    priority: Priority,
    number: u64,
}

/// Priority in the backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// some of its tasks have run
    Started,
    /// none has run, and it can still end in time
    Timely,
    Late,
}

struct Waiting {
    since: Uptime,
    wake: Notify,
}

impl Backlog {
    /// Adds a job.
    pub fn join(self: &Rc<Self>, priority: Priority) -> Ticket {
        self.last_number.set(self.last_number.get() + 1);
        let position = Position { priority, number: self.last_number.get() };
        let waiting = Rc::new(Waiting { since: uptime(), wake: Notify::new() });
        self.waiting.borrow_mut().insert(position, waiting.clone());
        Ticket { backlog: self.clone(), position, waiting }
    }

    /// Lets the first job try, because capacity may be free.
    pub fn wake_first(&self) {
        if let Some((_, first)) = self.waiting.borrow().first_key_value() {
            first.wake.notify_one();
        }
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Wait so far of the job that has waited longest.
    pub fn longest_wait(&self) -> Uptime {
        let waiting = self.waiting.borrow();
        let since = waiting.values().map(|w| w.since).min();
        since.map(|s| uptime().saturating_sub(s)).unwrap_or_default()
    }
}

/// A job's position in the backlog; dropping it removes the job.
pub struct Ticket {
    backlog: Rc<Backlog>,
    position: Position,
    waiting: Rc<Waiting>,
}

impl Ticket {
    pub fn priority(&self) -> Priority {
        self.position.priority
    }

    /// Waits until the job may try.
    pub async fn wait_turn(&self) {
        self.waiting.wake.notified().await;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.backlog.waiting.borrow_mut().remove(&self.position);
        // capacity that this job didn't use may suit the next one
        self.backlog.wake_first();
    }
}
