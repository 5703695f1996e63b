use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Member, TaskId};
use claim::Tenure;
use plat::{Row, Table};
use roster::{Homes, Roster};
use tokio::time::sleep;

/// The roster as this agent knows it, and its own place in it.
pub struct Peers {
    me: Member,
    row: String,
    table: Rc<dyn Table>,
    poll: Duration,
    known: RefCell<Roster>,
}

impl Peers {
    pub fn new(me: Member, service: &str, table: Rc<dyn Table>, poll: Duration) -> Rc<Self> {
        let known = RefCell::default();
        Rc::new(Self { me, row: Roster::row(service), table, poll, known })
    }

    /// Reads the row at every poll and joins it, for as long as the agent runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            if let Ok(row) = self.table.get(&self.row).await {
                self.join(row).await;
            }
            sleep(self.poll).await;
        }
    }

    async fn join(&self, row: Row) {
        let Some(mut roster) = read(&row) else { return };
        if !roster.lists(&self.me) {
            roster.epoch += 1;
            roster.settled = true;
            roster.members.retain(|m| m.name != self.me.name);
            roster.members.push(self.me.clone());
            let Ok(value) = serde_json::to_string(&roster) else { return };
            if self.table.put(&self.row, row.version, value).await.is_err() {
                return;
            }
        }
        *self.known.borrow_mut() = roster;
    }
}

impl Homes for Peers {
    fn me(&self) -> Option<Member> {
        Some(self.me.clone())
    }

    fn home(&self, id: &TaskId) -> Option<Member> {
        self.known.borrow().home(id)
    }

    fn tenure(&self, id: &TaskId, _: Instant) -> Tenure {
        let known = self.known.borrow();
        let epoch = known.epoch;
        match roster::home(&known.members, id) {
            Some(home) if *home == self.me => {
                Tenure::Home { epoch, since: 1, unsure_before: None, barred_before: None }
            }
            _ => Tenure::NotHome { epoch },
        }
    }

    fn epoch(&self) -> u64 {
        self.known.borrow().epoch
    }

    fn members(&self) -> Vec<Member> {
        self.known.borrow().members()
    }
}

fn read(row: &Row) -> Option<Roster> {
    if row.version == 0 {
        return Some(Roster::default());
    }
    serde_json::from_str(&row.value).ok()
}
