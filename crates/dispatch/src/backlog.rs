use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use base::uptime;
use placement::{BacklogOrder, ClassBacklog, Position, Shape, Stage, Waiter};
use tokio::sync::Notify;

/// Jobs that wait: some can still end in time once an agent has free capacity,
/// others only late. These get capacity that no other job needs: a late answer is
/// worth less than a timely one, but more than none. The order is that of
/// [`BacklogOrder`].
#[derive(Default)]
pub struct Backlog {
    order: RefCell<BacklogOrder>,
    wakers: RefCell<HashMap<Position, Rc<Notify>>>,
}

impl Backlog {
    /// Adds a job.
    pub fn join(self: &Rc<Self>, waiter: Waiter) -> Ticket {
        let stage = waiter.stage;
        let position = self.order.borrow_mut().join(waiter);
        let waker = Rc::<Notify>::default();
        self.wakers.borrow_mut().insert(position, waker.clone());
        Ticket { backlog: self.clone(), stage, position, waker, has_turn: Cell::default() }
    }

    /// Lets a job try, because capacity may be free.
    pub fn wake(&self) {
        let next = self.order.borrow_mut().wake();
        self.notify(next);
    }

    pub fn is_empty(&self) -> bool {
        self.order.borrow().is_empty()
    }

    /// Longest wait so far of the jobs that go before a new one.
    pub fn wait_ahead(&self, shape: &Shape, classes: usize) -> Duration {
        self.order.borrow().wait_ahead(shape, classes, uptime())
    }

    /// Jobs of each class.
    pub fn by_class(&self) -> Vec<ClassBacklog> {
        self.order.borrow().by_class(uptime())
    }

    fn notify(&self, position: Option<Position>) {
        if let Some(waker) = position.and_then(|p| self.wakers.borrow().get(&p).cloned()) {
            waker.notify_one();
        }
    }
}

/// A job's position in the backlog; dropping it removes the job.
pub struct Ticket {
    backlog: Rc<Backlog>,
    stage: Stage,
    position: Position,
    waker: Rc<Notify>,
    /// the job was woken, and has not passed its turn on
    has_turn: Cell<bool>,
}

impl Ticket {
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Waits until the job may try. If it was its turn before, the turn passes on.
    pub async fn wait_turn(&self) {
        if self.has_turn.take() {
            let next = self.backlog.order.borrow_mut().pass(self.position);
            self.backlog.notify(next);
        }
        self.waker.notified().await;
        self.has_turn.set(true);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.backlog.wakers.borrow_mut().remove(&self.position);
        // capacity that this job didn't use may suit the next one
        let next = self.backlog.order.borrow_mut().leave(self.position);
        self.backlog.notify(next);
    }
}
