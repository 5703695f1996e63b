use std::{cell::RefCell, rc::Rc, time::Instant};

use base::{Member, TaskId};
use claim::{Claim, Grant, Holder, KeyInfo, Record, Release, Table};
use conf::AgentSettings;
use roster::Homes;

use super::{Clock, limits};

/// Grants claims of the keys that this agent is home of.
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

    /// Answers an executor that asks for a claim.
    pub fn claim(&self, by: &Member, claim: Claim) -> Grant {
        if !self.may_hold(by) {
            return Grant::NotHome { epoch: self.homes.epoch() };
        }
        let tenure = self.homes.tenure(&claim.id, Instant::now());
        self.table.borrow_mut().claim(tenure, &holder(by), claim, self.clock.now())
    }

    /// Takes back a claim that was given up before the start. When false,
    /// this is not the home and the release was not heard.
    pub fn release(&self, by: &Member, claim: &Claim, release: Release) -> bool {
        let tenure = self.homes.tenure(&claim.id, Instant::now());
        self.table.borrow_mut().release(tenure, &holder(by), claim, release, self.clock.now())
    }

    /// Tells who holds a claim.
    pub fn look_up(&self, claim: &Claim) -> KeyInfo {
        let tenure = self.homes.tenure(&claim.id, Instant::now());
        self.table.borrow_mut().look_up(tenure, claim)
    }

    /// Tells who holds a claim, and bars the calls begun so far if nobody does.
    pub fn bar(&self, claim: Claim) -> KeyInfo {
        let tenure = self.homes.tenure(&claim.id, Instant::now());
        self.table.borrow_mut().bar(tenure, claim, self.clock.now())
    }

    /// What a new home must know of the keys that move to it; `moved` is asked
    /// with the key and the first epoch of the tenure its claim was made in.
    pub fn hand_over(&self, moved: impl Fn(&TaskId, u64) -> bool) -> Vec<Record> {
        self.table.borrow().hand_over(moved)
    }

    /// Takes over what others know of the keys whose home this agent became.
    pub fn adopt(&self, records: Vec<Record>, since: u64) {
        let now = self.clock.now();
        let mut table = self.table.borrow_mut();
        records.into_iter().for_each(|record| table.adopt(record, since, now));
    }

    /// Drops claims of tenures that have ended; `since` tells the first epoch
    /// of the tenure of a key, if this is its home.
    pub fn drop_moved(&self, since: impl Fn(&TaskId) -> Option<u64>) {
        self.table.borrow_mut().drop_moved(since);
    }

    /// Drops claims that were kept for their time.
    pub fn expire(&self) {
        self.table.borrow_mut().expire(self.clock.now());
    }

    /// Claims and bars kept.
    pub fn len(&self) -> usize {
        self.table.borrow().len()
    }

    /// Memory of the claims and bars kept, bytes.
    pub fn bytes(&self) -> usize {
        self.table.borrow().bytes()
    }

    /// A stranger's record could not be collected by the next home; and the
    /// loss of one VM must not take the claim and the record of the start.
    fn may_hold(&self, by: &Member) -> bool {
        let members = self.homes.members();
        let listed = members.iter().any(|m| m.name == by.name && m.incarnation == by.incarnation);
        listed && (by.name != self.me.name || members.len() == 1)
    }
}

pub fn holder(member: &Member) -> Holder {
    Holder { name: member.name.clone(), incarnation: member.incarnation }
}
