use std::{cell::RefCell, rc::Rc, time::Instant};

use base::{Member, TaskId};
use claim::{Claim, Grant, Holder, KeyInfo, Record, Release, Table};
use conf::AgentSettings;
use roster::Homes;

use super::{Clock, limits};

/// Grants claims for the keys whose home is this agent.
pub struct ClaimServer {
    me: Member,
    homes: Rc<dyn Homes>,
    table: RefCell<Table>,
    clock: Clock,
}

impl ClaimServer {
    pub fn new(settings: &AgentSettings, me: Member, homes: Rc<dyn Homes>, clock: Clock) -> Self {
        Self { me, homes, table: RefCell::new(Table::new(limits(settings))), clock }
    }

    /// Answers an executor's request for a claim.
    pub fn claim(&self, by: &Member, claim: Claim) -> Grant {
        if !self.may_hold(by) {
            return Grant::NotHome { epoch: self.homes.epoch() };
        }
        let tenure = self.homes.tenure(&claim.id, Instant::now());
        self.table.borrow_mut().claim(tenure, &holder(by), claim, self.clock.now())
    }

    /// Takes back a claim released before the start of its task. Returns false,
    /// with no effect, if this agent is not the home.
    pub fn release(&self, by: &Member, claim: &Claim, release: Release) -> bool {
        let tenure = self.homes.tenure(&claim.id, Instant::now());
        self.table.borrow_mut().release(tenure, &holder(by), claim, release, self.clock.now())
    }

    /// Returns who holds a claim.
    pub fn look_up(&self, claim: &Claim) -> KeyInfo {
        let tenure = self.homes.tenure(&claim.id, Instant::now());
        self.table.borrow_mut().look_up(tenure, claim, self.clock.now())
    }

    /// Returns who holds a claim; if nobody does, bars the calls received so far.
    pub fn bar(&self, claim: Claim) -> KeyInfo {
        let tenure = self.homes.tenure(&claim.id, Instant::now());
        self.table.borrow_mut().bar(tenure, claim, self.clock.now())
    }

    /// Records of the keys that move to a new home. `moved` takes the key and the
    /// first epoch of the tenure in which its claim was granted.
    pub fn hand_over(&self, moved: impl Fn(&TaskId, u64) -> bool) -> Vec<Record> {
        self.table.borrow().hand_over(moved)
    }

    /// Takes over records of keys whose home this agent has become.
    pub fn adopt(&self, records: Vec<Record>, since: u64) {
        let now = self.clock.now();
        let mut table = self.table.borrow_mut();
        records.into_iter().for_each(|record| table.adopt(record, since, now));
    }

    /// Drops claims of tenures that have ended. `since` returns the first epoch of
    /// the tenure of a key, or `None` if this agent is not its home.
    pub fn drop_moved(&self, since: impl Fn(&TaskId) -> Option<u64>) {
        self.table.borrow_mut().drop_moved(since);
    }

    /// Drops claims whose retention has ended.
    pub fn expire(&self) {
        self.table.borrow_mut().expire(self.clock.now());
    }

    /// Number of claims and bars.
    pub fn len(&self) -> usize {
        self.table.borrow().len()
    }

    /// Memory of the claims and bars, in bytes.
    pub fn bytes(&self) -> usize {
        self.table.borrow().bytes()
    }

    /// Whether an executor may hold claims of this home. It must be a member, as
    /// the next home collects records only from members, and another one than the
    /// home, as the loss of one VM must not lose both the claim and the record of
    /// the start.
    fn may_hold(&self, by: &Member) -> bool {
        let members = self.homes.members();
        let listed = members.iter().any(|m| m.name == by.name && m.incarnation == by.incarnation);
        listed && (by.name != self.me.name || members.len() == 1)
    }
}

pub fn holder(member: &Member) -> Holder {
    Holder { name: member.name.clone(), incarnation: member.incarnation }
}
