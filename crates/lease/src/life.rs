use std::{collections::HashMap, time::Duration};

use base::Uptime;

use crate::{Resources, StopOrder, TaskRef};

/// What is known of one life of a backend server, from its start to its exit. It is replaced
/// as a whole when another life begins: the next one may be of another kind, and its counts
/// begin anew.
#[derive(Debug, Default)]
pub(crate) struct Life {
    /// start time, Unix milliseconds; 0 if not known
    pub started_ms: u64,
    /// what it announced of itself; nothing starts before that
    pub announced: Option<Announced>,
    /// it gave notice that it exits
    pub has_left: bool,
    /// whether a listing of it was processed
    pub is_listed: bool,
    /// orphan runs in the newest listing
    pub orphans: Vec<Orphan>,
    /// sequence number of the newest end processed
    pub last_acked: u64,
    /// number of each run listed as ended, and when it was seen
    pub ended_runs: HashMap<TaskRef, (u32, Uptime)>,
}

/// An orphan run and its stop.
#[derive(Clone, Debug)]
pub(crate) struct Orphan {
    pub stop: StopOrder,
    /// when the stop was last ordered
    pub ordered_at: Uptime,
    pub is_confirmed: bool,
}

/// What a backend server announced of itself.
#[derive(Clone, Debug)]
pub(crate) struct Announced {
    pub capacity: Resources,
    pub draining: bool,
    /// earliest time at which it exits, if it said so while it drains
    pub leaves_at: Option<Uptime>,
    /// end of the newest period in which it was cold
    pub cold_until: Uptime,
}

impl Life {
    pub fn new(started_ms: u64) -> Self {
        Self { started_ms, ..Self::default() }
    }

    /// Whether it runs, or may run, what this process of the agent didn't order.
    pub fn may_have_orphans(&self) -> bool {
        !self.is_listed || !self.orphans.is_empty()
    }

    /// Whether its exit is planned.
    pub fn is_leaving(&self) -> bool {
        self.has_left || self.announced.as_ref().is_some_and(|a| a.draining)
    }

    /// Forgets the ended runs seen before `period` ago.
    pub fn forget_ended(&mut self, period: Duration, now: Uptime) {
        self.ended_runs.retain(|_, (_, at)| *at + period > now);
    }
}
