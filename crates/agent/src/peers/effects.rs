use std::{future::Future, rc::Rc};

use base::{Event, Member};
use claim::{Holder, Record};
use platform_client::Row;
use roster::{Effect, Heartbeat, Roster};
use tokio::time::timeout;
use wire::{read_heartbeat, read_record, write_heartbeat, write_member};

use super::{Peers, state::now};
use crate::run::{BeginIncarnation, HandOver};

impl Peers {
    /// Executes the effects of the state machine.
    pub(super) fn run_effects(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            let peers = self.clone();
            match effect {
                Effect::SendHeartbeat { to, heartbeat } => {
                    drop(actix::spawn(peers.exchange_heartbeat(to, heartbeat)))
                }
                Effect::ReadRow => drop(actix::spawn(peers.read_row())),
                Effect::WriteRow { expected, roster } => {
                    drop(actix::spawn(peers.write_row(expected, *roster)));
                }
                Effect::CollectRecords { from, roster } => {
                    drop(actix::spawn(peers.collect_from(from, *roster)));
                }
                Effect::CollectOwnRecords { roster } => {
                    drop(actix::spawn(peers.collect_own(*roster)))
                }
                Effect::DropMovedClaims => self.drop_moved_claims(),
                Effect::Reset => self.on_reset(),
            }
        }
    }

    async fn exchange_heartbeat(self: Rc<Self>, to: Member, heartbeat: Box<Heartbeat>) {
        if let Some(Ok(reply)) = self.with_timeout(self.send_heartbeat(&to, &heartbeat)).await {
            self.apply(|membership, now| membership.on_heartbeat_reply(&reply, now));
        }
    }

    async fn send_heartbeat(&self, to: &Member, heartbeat: &Heartbeat) -> wire::Result<Heartbeat> {
        let link = self.links.get(to.address).await?;
        let mut req = link.agent()?.beat_request();
        write_heartbeat(req.get().init_beat(), heartbeat);
        let res = req.send().promise.await?;
        read_heartbeat(res.get()?.get_ack()?)
    }

    async fn read_row(self: Rc<Self>) {
        match self.table.get(&self.row_key).await {
            Ok(row) => self.on_row(&row),
            Err(_) => self.on_row_failed(),
        }
    }

    async fn write_row(self: Rc<Self>, expected: u64, roster: Roster) {
        match self.table.put(&self.row_key, expected, roster.to_text()).await {
            Ok(version) => {
                self.apply(|membership, now| membership.on_row_read(version, Some(roster), now));
            }
            Err(platform_client::Error::Conflict(row)) => self.on_row(&row),
            Err(_) => self.on_row_failed(),
        }
    }

    fn on_row(self: &Rc<Self>, row: &Row) {
        if row.version == 0 {
            return self.apply(|membership, now| membership.on_row_read(0, None, now));
        }
        match Roster::from_text(&row.value) {
            Ok(roster) => {
                self.apply(|membership, now| membership.on_row_read(row.version, Some(roster), now))
            }
            Err(e) => {
                Event::RosterUnreadable.log(format_args!("{e}"));
                self.on_row_failed();
            }
        }
    }

    fn on_row_failed(&self) {
        self.membership.borrow_mut().on_row_failed(now());
    }

    async fn collect_from(self: Rc<Self>, from: Member, roster: Roster) {
        for page in 0.. {
            let Some(Ok((records, more))) =
                self.with_timeout(self.request_records(&from, &roster, page)).await
            else {
                return;
            };
            if !self.adopt(records, roster.epoch) {
                return;
            }
            if !more {
                break;
            }
        }
        self.apply(|membership, now| membership.on_collected(&from, roster.epoch, now));
    }

    async fn request_records(
        &self,
        from: &Member,
        roster: &Roster,
        page: u32,
    ) -> wire::Result<(Vec<Record>, bool)> {
        let link = self.links.get(from.address).await?;
        let mut req = link.agent()?.collect_request();
        let mut params = req.get();
        params.set_epoch(roster.epoch);
        params.set_roster(roster.to_text().as_str());
        params.set_page(page);
        let me = self.membership.borrow().me().clone();
        write_member(params.init_home(), &me);
        let res = req.send().promise.await?;
        let res = res.get()?;
        let records = res.get_records()?.iter().map(read_record).collect::<wire::Result<_>>()?;
        Ok((records, res.get_more()))
    }

    async fn collect_own(self: Rc<Self>, roster: Roster) {
        let Some(stores) = self.stores.get() else { return };
        let me = self.membership.borrow().me().clone();
        let epoch = roster.epoch;
        let request = HandOver { roster, home: me.clone() };
        let Ok(records) = stores.runner.send(request).await else { return };
        if self.adopt(records, epoch) {
            self.apply(|membership, now| membership.on_collected(&me, epoch, now));
        }
    }

    /// Takes over records; returns false, with no effect, if the roster has changed
    /// in the meantime.
    fn adopt(&self, records: Vec<Record>, epoch: u64) -> bool {
        let current = self.membership.borrow().roster().epoch == epoch;
        if let (true, Some(stores)) = (current, self.stores.get()) {
            stores.claim_server.adopt(records, epoch);
        }
        current
    }

    fn drop_moved_claims(&self) {
        self.pages.borrow_mut().clear();
        let membership = self.membership.borrow();
        let roster = membership.roster();
        let names: Vec<_> = roster.members.iter().map(|m| &*m.name).collect();
        Event::RosterChanged.log(format_args!("epoch {}: {}", roster.epoch, names.join(" ")));
        if let Some(stores) = self.stores.get() {
            stores.claim_server.drop_moved(|id| membership.tenure_start(id));
        }
    }

    fn on_reset(&self) {
        let Some(stores) = self.stores.get() else { return };
        let me = self.membership.borrow().me().clone();
        stores.claim_server.drop_moved(|_| None);
        stores
            .runner
            .do_send(BeginIncarnation(Holder { name: me.name, incarnation: me.incarnation }));
    }

    async fn with_timeout<T>(&self, reply: impl Future<Output = T>) -> Option<T> {
        timeout(self.reply_timeout, reply).await.ok()
    }
}
