use std::rc::Rc;

use capnp::Error;
use wire::{
    LinkPool,
    egret_capnp::entry::{self, GreetParams, GreetResults},
    read_info,
};

use crate::app::SharedState;

/// RPC interface that agents call.
pub struct EntryRpc {
    shared: SharedState,
    links: Rc<LinkPool>,
}

impl EntryRpc {
    pub fn new(shared: SharedState) -> Self {
        let links = Rc::new(LinkPool::new(shared.settings.token.clone()));
        Self { shared, links }
    }
}

impl entry::Server for EntryRpc {
    async fn greet(
        self: Rc<Self>,
        params: GreetParams,
        mut results: GreetResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let info = read_info(params.get_info()?).map_err(|e| Error::failed(e.to_string()))?;
        let agent_version = info.config_version;
        if params.has_document() {
            self.shared.fleet.offer(agent_version, params.get_document()?.to_str()?);
        }
        if info.roster_epoch > self.shared.rosters.get(&info.service).epoch {
            let rosters = self.shared.rosters.clone();
            actix::spawn(rosters.fetch(self.links.clone(), info.clone()));
        }
        self.shared.agents.on_heartbeat(info);
        let snapshot = self.shared.fleet.get();
        let mut results = results.get();
        results.set_version(snapshot.version);
        if agent_version.max(params.get_seen()) < snapshot.version {
            results.set_document(&*snapshot.text);
        }
        let entries = self.shared.entries.addresses();
        let mut list = results.init_entries(entries.len() as u32);
        for (i, entry) in (0..).zip(&entries) {
            list.set(i, entry.to_string().as_str());
        }
        Ok(())
    }
}
