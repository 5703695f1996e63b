use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use actix::Addr;
use base::{Event, Member, now_ms};
use claim::Record;
use conf::AgentSettings;
use platform_client::Table;
use roster::{Effect, Handover, Heartbeat, Membership, Now, Roster, Settings};
use tokio::time::sleep;
use wire::LinkPool;

use super::pages::Pages;
use crate::{
    home::ClaimServer,
    run::{HandOver, Runner},
};

/// Resolution of the timers for heartbeats and reads of the roster.
const TICKS_PER_HEARTBEAT: u32 = 10;
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Membership of this agent in the roster of its service, connected to the
/// other agents and to the platform.
pub struct Peers {
    pub(super) membership: RefCell<Membership>,
    pub(super) row_key: String,
    pub(super) table: Rc<dyn Table>,
    pub(super) links: LinkPool,
    pub(super) stores: OnceCell<Stores>,
    pub(super) pages: RefCell<Pages>,
    pub(super) reply_timeout: Duration,
    heartbeat_interval: Duration,
    status: Cell<Status>,
}

/// Stores of the claims and records that are handed over.
pub struct Stores {
    pub claim_server: Rc<ClaimServer>,
    pub runner: Addr<Runner>,
}

/// Status that was last logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Status {
    permit: bool,
    blocked: bool,
}

impl Peers {
    pub fn new(me: Member, settings: &AgentSettings, table: Rc<dyn Table>) -> Rc<Self> {
        let ms = Duration::from_millis;
        let roster_settings = Settings {
            heartbeat_interval: ms(settings.heartbeat_ms),
            lease: ms(settings.lease_ms),
            suspect_after: ms(settings.suspect_ms),
            poll_interval: ms(settings.heartbeat_ms),
            retention: ms(settings.retention_ms),
            clock_skew: ms(settings.skew_ms),
            ..Settings::default()
        };
        Rc::new(Self {
            membership: RefCell::new(Membership::new(me, roster_settings, now())),
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

    /// Joins the roster, and stays a member for as long as the agent runs.
    pub fn start(self: &Rc<Self>, stores: Stores) {
        if self.stores.set(stores).is_ok() {
            actix::spawn(self.clone().run());
        }
    }

    /// Handles a heartbeat of another member; returns the reply.
    pub fn on_heartbeat(self: &Rc<Self>, heartbeat: &Heartbeat) -> Heartbeat {
        let (reply, effects) = self.membership.borrow_mut().on_heartbeat(heartbeat, now());
        self.run_effects(effects);
        reply
    }

    /// Promises a roster, and returns one page of the records that the new home
    /// needs, and whether there are more. `None` if the roster is outdated.
    pub async fn hand_over(
        self: &Rc<Self>,
        home: Member,
        roster: Roster,
        page: u32,
    ) -> Option<(Vec<Record>, bool)> {
        let epoch = roster.epoch;
        if page == 0 {
            self.begin_handover(&home, roster).await?;
        }
        self.pages.borrow().page(&home, epoch, page)
    }

    /// Document of the roster known to this agent.
    pub fn document(&self) -> String {
        self.membership.borrow().roster().to_text()
    }

    /// Hands over all claims and records and leaves the roster, within `limit`.
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

    /// Passes an input to the state machine and executes its effects.
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

    async fn begin_handover(self: &Rc<Self>, home: &Member, roster: Roster) -> Option<()> {
        let stores = self.stores.get()?;
        let (handover, effects) = self.membership.borrow_mut().on_collect(home, &roster, now());
        let mut records = Vec::new();
        if handover == Handover::Accept {
            let membership = self.membership.borrow();
            records = stores.claim_server.hand_over(|id, epoch| {
                roster.moves_key(id, home) && membership.is_valid_grant(id, epoch)
            });
        }
        self.run_effects(effects);
        if handover == Handover::Refuse {
            return None;
        }
        let epoch = roster.epoch;
        if self.pages.borrow().contains(home, epoch) {
            return Some(());
        }
        let request = HandOver { roster, home: home.clone() };
        records.extend(stores.runner.send(request).await.ok()?);
        self.pages.borrow_mut().put(home, epoch, records);
        Some(())
    }

    fn log_status(&self) {
        let membership = self.membership.borrow();
        let at = Instant::now();
        let status =
            Status { permit: membership.has_permit(at), blocked: membership.is_blocked(at) };
        let before = self.status.replace(status);
        let epoch = membership.roster().epoch;
        match (before.permit, status.permit) {
            (false, true) => Event::PermitRegained.log(format_args!("epoch {epoch}")),
            (true, false) => Event::PermitLost.log(format_args!("epoch {epoch}")),
            _ => {}
        }
        if status.blocked && !before.blocked {
            Event::RosterBlocked
                .log(format_args!("epoch {epoch}: an operator must confirm the loss"));
        }
    }
}

pub(super) fn now() -> Now {
    Now { at: Instant::now(), wall_ms: now_ms() }
}
