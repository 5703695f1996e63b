use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix::Addr;
use capnp::Error;
use claim::{KeyInfo, Release, Stage};
use wire::{
    Reply,
    egret_capnp::{
        Stage as WireStage,
        agent::{
            self, AttachParams, AttachResults, BarParams, BarResults, BeatParams, BeatResults,
            CancelParams, CancelResults, ClaimParams, ClaimResults, CollectParams, CollectResults,
            DrainParams, DrainResults, ReleaseParams, ReleaseResults, RosterParams, RosterResults,
            RunParams, RunResults, StatusParams, StatusResults,
        },
        reply,
    },
    read_claim, read_heartbeat, read_id, read_ids, read_member, read_roster, read_task,
    write_grant, write_heartbeat, write_load, write_record, write_reply,
};

use crate::{
    heartbeat::HeartbeatSender,
    home::ClaimServer,
    peers::Peers,
    run::{Attach, Cancel, Drain, GetLoad, GetStage, Offer, Response, Runner},
};

/// RPC server for entries and other agents.
pub struct AgentRpc {
    runner: Addr<Runner>,
    heartbeats: HeartbeatSender,
    claim_server: Rc<ClaimServer>,
    peers: Rc<Peers>,
}

impl AgentRpc {
    pub fn new(
        runner: Addr<Runner>,
        heartbeats: HeartbeatSender,
        claim_server: Rc<ClaimServer>,
        peers: Rc<Peers>,
    ) -> Self {
        Self { runner, heartbeats, claim_server, peers }
    }
}

impl agent::Server for AgentRpc {
    async fn run(self: Rc<Self>, params: RunParams, mut results: RunResults) -> Result<(), Error> {
        let task = read_task(params.get()?.get_task()?, Instant::now()).map_err(fail)?;
        let response = self.runner.send(Offer(task)).await.map_err(fail)?;
        write_response(results.get().init_reply(), &response);
        Ok(())
    }

    async fn attach(
        self: Rc<Self>,
        params: AttachParams,
        mut results: AttachResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let time_left = Duration::from_millis(params.get_left_ms().into());
        let attach = Attach {
            id: read_id(params.get_id()?).map_err(fail)?,
            deadline: Instant::now() + time_left,
            incarnation: params.get_incarnation(),
        };
        let response = self.runner.send(attach).await.map_err(fail)?;
        write_response(results.get().init_reply(), &response);
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        params: StatusParams,
        mut results: StatusResults,
    ) -> Result<(), Error> {
        let id = read_id(params.get()?.get_id()?).map_err(fail)?;
        let stage = self.runner.send(GetStage(id)).await.map_err(fail)?;
        results.get().set_stage(match &stage {
            None | Some(Stage::GivenUp { .. }) => WireStage::Unseen,
            Some(Stage::ClaimRequested | Stage::Queued) => WireStage::Queued,
            Some(Stage::Running) => WireStage::Running,
            Some(Stage::Over(_)) => WireStage::Over,
        });
        if let Some(Stage::Over(answer)) = stage {
            write_reply(results.get().init_reply(), &Reply::Answer(answer));
        }
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: CancelParams,
        mut results: CancelResults,
    ) -> Result<(), Error> {
        let ids = read_ids(params.get()?.get_ids()?).map_err(fail)?;
        let stopped = self.runner.send(Cancel(ids)).await.map_err(fail)?;
        let mut to = results.get().init_stopped(stopped.len() as u32);
        for (i, stopped) in (0..).zip(stopped) {
            to.set(i, stopped);
        }
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: ClaimParams,
        mut results: ClaimResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let by = read_member(params.get_executor()?).map_err(fail)?;
        let claims = params.get_claims()?;
        let mut to = results.get().init_grants(claims.len());
        for (i, claim) in (0..).zip(claims.iter()) {
            let grant = self.claim_server.claim(&by, read_claim(claim).map_err(fail)?);
            write_grant(to.reborrow().get(i), &KeyInfo { grant, task_count: None });
        }
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: ReleaseParams,
        _: ReleaseResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let by = read_member(params.get_executor()?).map_err(fail)?;
        let bars = params.get_bars()?;
        for (i, claim) in (0..).zip(params.get_claims()?.iter()) {
            let bar = i < bars.len() && bars.get(i);
            let release = if bar { Release::Bar } else { Release::Free };
            if !self.claim_server.release(&by, &read_claim(claim).map_err(fail)?, release) {
                return Err(fail("not home now"));
            }
        }
        Ok(())
    }

    async fn bar(self: Rc<Self>, params: BarParams, mut results: BarResults) -> Result<(), Error> {
        let params = params.get()?;
        let claim = read_claim(params.get_claim()?).map_err(fail)?;
        let found = if params.get_look() {
            self.claim_server.look_up(&claim)
        } else {
            self.claim_server.bar(claim)
        };
        write_grant(results.get().init_grant(), &found);
        Ok(())
    }

    async fn beat(
        self: Rc<Self>,
        params: BeatParams,
        mut results: BeatResults,
    ) -> Result<(), Error> {
        let heartbeat = read_heartbeat(params.get()?.get_beat()?).map_err(fail)?;
        write_heartbeat(results.get().init_ack(), &self.peers.on_heartbeat(&heartbeat));
        Ok(())
    }

    async fn collect(
        self: Rc<Self>,
        params: CollectParams,
        mut results: CollectResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let home = read_member(params.get_home()?).map_err(fail)?;
        let roster = read_roster(params.get_roster()).map_err(fail)?;
        let page = self.peers.hand_over(home, roster, params.get_page()).await;
        let (records, more) = page.ok_or_else(|| fail("the roster went on"))?;
        results.get().set_more(more);
        let mut to = results.get().init_records(records.len() as u32);
        for (i, record) in (0..).zip(&records) {
            write_record(to.reborrow().get(i), record);
        }
        Ok(())
    }

    async fn roster(
        self: Rc<Self>,
        _: RosterParams,
        mut results: RosterResults,
    ) -> Result<(), Error> {
        results.get().set_document(self.peers.document().as_str());
        Ok(())
    }

    async fn drain(
        self: Rc<Self>,
        params: DrainParams,
        mut results: DrainResults,
    ) -> Result<(), Error> {
        let drain = if params.get()?.get_on() { Drain::On } else { Drain::Off };
        self.runner.send(drain).await.map_err(fail)?;
        self.heartbeats.send_now().await;
        let load = self.runner.send(GetLoad).await.map_err(fail)?;
        write_load(results.get().init_load(), &load);
        Ok(())
    }
}

fn write_response(mut to: reply::Builder<'_>, response: &Response) {
    write_load(to.reborrow().init_load(), &response.load);
    write_reply(to, &response.reply);
}

fn fail(e: impl std::fmt::Display) -> Error {
    Error::failed(e.to_string())
}
