use std::time::Instant;

use base::{Member, TaskId};
use claim::Tenure;
use roster::Homes;

use super::Peers;

impl Homes for Peers {
    fn me(&self) -> Option<Member> {
        Some(self.membership.borrow().me().clone())
    }

    fn home(&self, id: &TaskId) -> Option<Member> {
        self.membership.borrow().roster().home(id)
    }

    fn tenure(&self, id: &TaskId, now: Instant) -> Tenure {
        self.membership.borrow().tenure(id, now)
    }

    fn epoch(&self) -> u64 {
        self.membership.borrow().roster().epoch
    }

    fn members(&self) -> Vec<Member> {
        self.membership.borrow().roster().executors()
    }
}
