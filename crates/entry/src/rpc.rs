use std::rc::Rc;

use capnp::Error;
use wire::{
    egret_capnp::entry::{self, GreetParams, GreetResults},
    read_info,
};

use crate::app::Shared;

/// What agents may ask of this entry.
pub struct EntryRpc {
    shared: Shared,
}

impl EntryRpc {
    pub fn new(shared: Shared) -> Self {
        Self { shared }
    }
}

impl entry::Server for EntryRpc {
    async fn greet(
        self: Rc<Self>,
        params: GreetParams,
        mut results: GreetResults,
    ) -> Result<(), Error> {
        let info =
            read_info(params.get()?.get_info()?).map_err(|e| Error::failed(e.to_string()))?;
        self.shared.agents.heard(info);
        results.get().set_version(self.shared.fleet.get().version);
        Ok(())
    }
}
