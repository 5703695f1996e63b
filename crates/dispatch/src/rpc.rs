use std::{rc::Rc, sync::Arc};

use capnp::Error;
use conf::CurrentFleet;
use topology::digest;
use wire::{
    Welcome,
    egret_capnp::entry::{
        GreetParams, GreetResults, JoinParams, JoinResults, MeetParams, MeetResults, Server,
    },
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
    /// A process fetches or sends the configuration.
    async fn greet(
        self: Rc<Self>,
        params: GreetParams,
        mut results: GreetResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let info = params.get_info()?;
        let name = info.get_name()?.to_str()?.into();
        if params.has_document() {
            let document = params.get_document()?.to_str()?;
            self.gossip.on_document(&name, info.get_version(), document);
        }
        let mut results = results.get();
        results.set_version(self.fleet.version());
        if let Some(document) = self.gossip.document_for(&name, params.get_seen()) {
            results.set_version(document.version);
            results.set_document(&*document.text);
        }
        Ok(())
    }

    async fn join(
        self: Rc<Self>,
        params: JoinParams,
        mut results: JoinResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let hello = read_hello(params.get_hello()?).map_err(to_rpc_error)?;
        // before the agent is known, so that no task is sent to a drained one
        self.gossip.on_drains(&hello.drains);
        if let Some(document) = &hello.config {
            self.gossip.on_document(&hello.name, hello.config_version, document);
        }
        let worker = params.has_worker().then(|| params.get_worker()).transpose()?;
        let mut welcome = self.gossip.welcome_agent(&hello);
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
        let welcome = self.gossip.welcome(&known.name, known.config_version);
        write_welcome(results.get().init_welcome(), &welcome);
        Ok(())
    }
}

fn to_rpc_error(error: impl std::fmt::Display) -> Error {
    Error::failed(error.to_string())
}
