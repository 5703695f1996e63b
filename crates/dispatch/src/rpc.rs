use std::{rc::Rc, sync::Arc};

use capnp::Error;
use conf::CurrentFleet;
use topology::digest;
use wire::{
    Welcome,
    egret_capnp::entry::{JoinParams, JoinResults, MeetParams, MeetResults, Server},
    read_hello, read_welcome, write_welcome,
};

use crate::{Agents, Gossip};

/// RPC interface of this entry for agents and other entries.
pub struct EntryRpc {
    agents: Rc<Agents>,
    fleet: Arc<CurrentFleet>,
    gossip: Rc<Gossip>,
}

impl EntryRpc {
    pub fn new(agents: Rc<Agents>, fleet: Arc<CurrentFleet>, gossip: Rc<Gossip>) -> Self {
        Self { agents, fleet, gossip }
    }
}

impl Server for EntryRpc {
    async fn join(
        self: Rc<Self>,
        params: JoinParams,
        mut results: JoinResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let hello = read_hello(params.get_hello()?).map_err(to_rpc_error)?;
        if let Some(document) = &hello.config {
            self.fleet.offer(hello.config_version, document);
        }
        let worker = params.has_worker().then(|| params.get_worker()).transpose()?;
        let mut welcome = self.gossip.welcome(hello.highest_offered);
        self.agents.set_entries(welcome.entries.len());
        welcome.surplus = self.agents.on_heartbeat(&hello, worker);
        welcome.entries_digest = digest(&welcome.entries);
        if hello.entries_digest == welcome.entries_digest {
            welcome.entries.clear();
        }
        write_welcome(results.get().init_welcome(), &welcome);
        Ok(())
    }

    async fn meet(
        self: Rc<Self>,
        params: MeetParams,
        mut results: MeetResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let known: Welcome = read_welcome(params.get_known()?).map_err(to_rpc_error)?;
        let address = params.get_address()?.to_str()?.parse().map_err(to_rpc_error)?;
        self.gossip.on_meet(address, &known);
        write_welcome(results.get().init_welcome(), &self.gossip.welcome(known.config_version));
        Ok(())
    }
}

fn to_rpc_error(error: impl std::fmt::Display) -> Error {
    Error::failed(error.to_string())
}
