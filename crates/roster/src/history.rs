use std::time::{Duration, Instant};

use base::{Member, TaskId};

use crate::{Roster, home};

/// The rosters of one incarnation of a member, oldest first and without a gap.
#[derive(Debug, Default)]
pub struct History {
    rosters: Vec<PastRoster>,
}

#[derive(Debug)]
struct PastRoster {
    epoch: u64,
    members: Vec<Member>,
    learned_at: Instant,
}

impl History {
    /// Adds a newer roster and drops those that never settled. Returns false
    /// if the member missed the roster that this one replaces.
    #[must_use]
    pub fn push(&mut self, roster: &Roster, joins: bool, now: Instant) -> bool {
        if joins {
            self.rosters.clear();
        }
        while self.rosters.last().is_some_and(|p| p.epoch > roster.base_epoch) {
            self.rosters.pop();
        }
        let follows = self.rosters.last().is_some_and(|p| p.epoch == roster.base_epoch);
        let members = roster.members.clone();
        self.rosters.push(PastRoster { epoch: roster.epoch, members, learned_at: now });
        joins || follows
    }

    /// First epoch of the unbroken tenure of this home, `None` if the key has
    /// another home in the last roster.
    pub fn tenure_start(&self, id: &TaskId, home: &Member) -> Option<u64> {
        self.tenure_start_as_of(id, home, u64::MAX)
    }

    /// The same as of the epoch `last`.
    pub fn tenure_start_as_of(&self, id: &TaskId, home: &Member, last: u64) -> Option<u64> {
        let known = self.rosters.iter().rev().skip_while(|p| p.epoch > last);
        let unbroken = known.take_while(|p| p.has_home(id, home));
        unbroken.last().map(|p| p.epoch)
    }

    /// Drops rosters whose claims are past their retention.
    pub fn prune(&mut self, retention: Duration, now: Instant) {
        let expired = |p: &PastRoster| now.duration_since(p.learned_at) > retention;
        while self.rosters.get(1).is_some_and(expired) {
            self.rosters.remove(0);
        }
    }

    pub fn clear(&mut self) {
        self.rosters.clear();
    }
}

impl PastRoster {
    fn has_home(&self, id: &TaskId, member: &Member) -> bool {
        home(&self.members, id).is_some_and(|h| h.same_incarnation(member))
    }
}
