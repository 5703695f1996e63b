use std::time::Instant;

use base::{Member, TaskId};
use claim::Tenure;
use roster::Homes;

use super::Peers;

impl Homes for Peers {
    fn me(&self) -> Option<Member> {
        Some(self.member.borrow().me().clone())
    }

    fn home(&self, id: &TaskId) -> Option<Member> {
        self.member.borrow().roster().home(id)
    }

    fn tenure(&self, id: &TaskId, now: Instant) -> Tenure {
        self.member.borrow().tenure(id, now)
    }

    fn epoch(&self) -> u64 {
        self.member.borrow().roster().epoch
    }

    fn members(&self) -> Vec<Member> {
        self.member.borrow().roster().executors()
    }
}
