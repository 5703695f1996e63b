use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use actix::Addr;
use base::{Event, Member, now_ms};
use claim::Record;
use conf::AgentSettings;
use plat::Table;
use roster::{Effect, Handover, Heartbeat, Membership, Now, Roster, Settings};
use tokio::time::sleep;
use wire::LinkPool;

use super::pages::Pages;
use crate::{
    home::ClaimServer,
    run::{HandOver, Runner},
};

/// Heartbeats and reads are due at these steps, a part of a heartbeat.
const TICKS_PER_HEARTBEAT: u32 = 10;
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// This agent's place among the agents of its service.
pub struct Peers {
    pub(super) membership: RefCell<Membership>,
    pub(super) row_key: String,
    pub(super) table: Rc<dyn Table>,
    pub(super) links: LinkPool,
    pub(super) stores: OnceCell<Stores>,
    pub(super) pages: RefCell<Pages>,
    /// longest wait for a reply of another agent
    pub(super) reply_timeout: Duration,
    heartbeat_interval: Duration,
    status: Cell<Status>,
}

/// What hands over claims and records, and takes them.
pub struct Stores {
    pub claim_server: Rc<ClaimServer>,
    pub runner: Addr<Runner>,
}

/// What was last said of this agent's standing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Status {
    permit: bool,
    stuck: bool,
}

impl Peers {
    pub fn new(me: Member, settings: &AgentSettings, table: Rc<dyn Table>) -> Rc<Self> {
        let ms = Duration::from_millis;
        let rules = Settings {
            heartbeat_interval: ms(settings.heartbeat_ms),
            lease: ms(settings.lease_ms),
            suspect_after: ms(settings.suspect_ms),
            poll_interval: ms(settings.heartbeat_ms),
            retention: ms(settings.retention_ms),
            clock_skew: ms(settings.skew_ms),
            ..Settings::default()
        };
        Rc::new(Self {
            membership: RefCell::new(Membership::new(me, rules, now())),
            row_key: Roster::row_key(&settings.service),
            table,
            links: LinkPool::new(settings.token.clone()),
            stores: OnceCell::new(),
            pages: RefCell::default(),
            reply_timeout: ms(settings.lease_ms),
            heartbeat_interval: ms(settings.heartbeat_ms),
            status: Cell::default(),
        })
    }

    /// Joins the roster, and keeps its place for as long as the agent runs.
    pub fn start(self: &Rc<Self>, hands: Stores) {
        if self.stores.set(hands).is_ok() {
            actix::spawn(self.clone().run());
        }
    }

    /// A heartbeat of another member; gives the reply.
    pub fn on_heartbeat(self: &Rc<Self>, beat: &Heartbeat) -> Heartbeat {
        let (reply, effects) = self.membership.borrow_mut().on_heartbeat(beat, now());
        self.run_effects(effects);
        reply
    }

    /// Promises a roster, and gives a page of what its new home must know.
    /// `None` when the roster went on without it.
    pub async fn hand_over(
        self: &Rc<Self>,
        home: Member,
        roster: Roster,
        page: u32,
    ) -> Option<(Vec<Record>, bool)> {
        if page == 0 {
            let records = self.begin_handover(&home, roster).await?;
            self.pages.borrow_mut().put(home.name.clone(), records);
        }
        Some(self.pages.borrow_mut().next_page(&home.name))
    }

    /// The document of the roster as it is known here.
    pub fn document(&self) -> String {
        self.membership.borrow().roster().to_text()
    }

    /// Hands everything over and leaves the roster, within a time.
    pub async fn leave(self: &Rc<Self>, limit: Duration) {
        let end = Instant::now() + limit;
        self.apply(Membership::leave);
        while !self.membership.borrow().has_left() && Instant::now() < end {
            sleep(LEAVE_POLL_INTERVAL).await;
        }
        let left = self.membership.borrow().has_left();
        let how = if left { "left as planned" } else { "could not leave in time" };
        Event::RosterChanged.log(format_args!("{how}"));
    }

    /// Feeds the state machine, and does what it asks.
    pub(super) fn apply(self: &Rc<Self>, input: impl FnOnce(&mut Membership, Now) -> Vec<Effect>) {
        let effects = input(&mut self.membership.borrow_mut(), now());
        self.run_effects(effects);
    }

    async fn run(self: Rc<Self>) {
        loop {
            self.apply(Membership::tick);
            self.log_status();
            sleep(self.heartbeat_interval / TICKS_PER_HEARTBEAT).await;
        }
    }

    async fn begin_handover(self: &Rc<Self>, home: &Member, roster: Roster) -> Option<Vec<Record>> {
        let hands = self.stores.get()?;
        let (handover, effects) = self.membership.borrow_mut().on_collect(home, &roster, now());
        let mut records = Vec::new();
        if handover == Handover::Accept {
            let member = self.membership.borrow();
            records = hands.claim_server.hand_over(|id, epoch| {
                roster.moves_key(id, home) && member.is_valid_grant(id, epoch)
            });
        }
        self.run_effects(effects);
        if handover == Handover::Refuse {
            return None;
        }
        let ask = HandOver { roster, home: home.clone() };
        records.extend(hands.runner.send(ask).await.ok()?);
        Some(records)
    }

    fn log_status(&self) {
        let member = self.membership.borrow();
        let at = Instant::now();
        let state = Status { permit: member.has_permit(at), stuck: member.is_blocked(at) };
        let before = self.status.replace(state);
        let epoch = member.roster().epoch;
        match (before.permit, state.permit) {
            (false, true) => Event::PermitRegained.log(format_args!("epoch {epoch}")),
            (true, false) => Event::PermitLost.log(format_args!("epoch {epoch}")),
            _ => {}
        }
        if state.stuck && !before.stuck {
            Event::RosterBlocked
                .log(format_args!("epoch {epoch}: an operator must confirm the loss"));
        }
    }
}

pub(super) fn now() -> Now {
    Now { at: Instant::now(), wall_ms: now_ms() }
}
