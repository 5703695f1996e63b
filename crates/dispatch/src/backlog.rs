use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use base::{Uptime, uptime};
use tokio::sync::Notify;

/// Jobs that can no longer end in time and wait for room that nobody else
/// wants. They answer the load after a crest: late answers are worth less
/// than timely ones, but more than none.
#[derive(Default)]
pub struct Backlog {
    waiting: RefCell<BTreeMap<Place, Rc<Waiting>>>,
    entered: Cell<u64>,
}

/// Place in the order: started jobs first, then by arrival here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    rank: Rank,
    number: u64,
}

/// What goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// some of its tasks have run already
    Started,
    Untouched,
}

struct Waiting {
    since: Uptime,
    turn: Notify,
}

impl Backlog {
    /// Joins the jobs that wait.
    pub fn join(self: &Rc<Self>, rank: Rank) -> Ticket {
        self.entered.set(self.entered.get() + 1);
        let place = Place { rank, number: self.entered.get() };
        let waiting = Rc::new(Waiting { since: uptime(), turn: Notify::new() });
        self.waiting.borrow_mut().insert(place, waiting.clone());
        Ticket { backlog: self.clone(), place, waiting }
    }

    /// There may be room: the first job may try.
    pub fn wake_first(&self) {
        if let Some((_, first)) = self.waiting.borrow().first_key_value() {
            first.turn.notify_one();
        }
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// How long the job that waits longest has waited.
    pub fn longest_wait(&self) -> Uptime {
        let waiting = self.waiting.borrow();
        let since = waiting.values().map(|w| w.since).min();
        since.map(|s| uptime().saturating_sub(s)).unwrap_or_default()
    }
}

/// A job's place among those that wait.
pub struct Ticket {
    backlog: Rc<Backlog>,
    place: Place,
    waiting: Rc<Waiting>,
}

impl Ticket {
    pub fn rank(&self) -> Rank {
        self.place.rank
    }

    /// Waits until it may try.
    pub async fn turn(&self) {
        self.waiting.turn.notified().await;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.backlog.waiting.borrow_mut().remove(&self.place);
        // room that this one didn't take may do for the next
        self.backlog.wake_first();
    }
}
