use std::time::{Duration, Instant};

use base::{Member, TaskId};
use claim::{Holder, Limits, Records, Table};
use roster::{Homes, Membership, Now, Settings};

pub fn agent(index: usize, incarnation: u64) -> Member {
    Member {
        name: format!("agent-{index}").into(),
        incarnation,
        address: ([10, 0, 0, index as u8], 7400).into(),
        centre: "centre".into(),
        rack: "rack".into(),
    }
}

/// One agent: its roster membership, its claims as home and its records.
pub struct Node {
    pub member: Membership,
    pub table: Table,
    pub records: Records,
    /// granted and not yet started
    pub queue: Vec<TaskId>,
    /// granted in an earlier incarnation and not yet started
    pub old_queue: Vec<TaskId>,
    pub alive: bool,
    /// a planned leave has begun
    pub leaving: bool,
    /// frozen until this true time, milliseconds
    pub frozen_until: u64,
    /// rate of its monotonic clock against true time, per mille
    pub clock_rate: u64,
    /// offset of its wall clock from true time
    pub clock_offset_ms: i64,
    pub origin: Instant,
}

impl Node {
    pub fn new(me: Member, settings: Settings, origin: Instant, at: u64) -> Self {
        let holder = holder(&me);
        let now = Now { at: origin + Duration::from_millis(at), wall_ms: at };
        Self {
            member: Membership::new(me, settings, now),
            table: Table::new(limits()),
            records: Records::new(holder, limits()),
            queue: Vec::new(),
            old_queue: Vec::new(),
            alive: true,
            leaving: false,
            frozen_until: 0,
            clock_rate: 1000,
            clock_offset_ms: 0,
            origin,
        }
    }

    /// Both clocks of this node at a true time in milliseconds.
    pub fn now(&self, at: u64) -> Now {
        let local = self.origin + Duration::from_micros(at * self.clock_rate);
        Now { at: local, wall_ms: at.saturating_add_signed(self.clock_offset_ms) }
    }

    pub fn claim_now(&self, at: u64) -> claim::Now {
        claim::Now { uptime: Duration::from_millis(at), wall_ms: self.now(at).wall_ms }
    }

    pub fn is_awake(&self, at: u64) -> bool {
        self.alive && at >= self.frozen_until
    }

    pub fn holder(&self) -> Holder {
        holder(self.member.me())
    }

    /// The home of a key as this node sees it.
    pub fn home(&self, id: &TaskId) -> Option<Member> {
        self.member.roster().home(id)
    }
}

fn holder(member: &Member) -> Holder {
    Holder { name: member.name.clone(), incarnation: member.incarnation }
}

fn limits() -> Limits {
    let hour = Duration::from_secs(3600);
    let skew = Duration::from_millis(50);
    Limits { retention: hour, max_call_time: hour, clock_skew: skew, ..Limits::default() }
}
