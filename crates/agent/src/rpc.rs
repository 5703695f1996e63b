use std::{rc::Rc, time::Instant};

use actix::Addr;
use capnp::Error;
use wire::{
    egret_capnp::agent::{self, DrainParams, DrainResults, RunParams, RunResults},
    read_task, write_load, write_reply,
};

use crate::{
    greet::Greeter,
    run::{Drain, Inspect, Offer, Runner},
};

/// What entries and other agents may ask of this agent.
pub struct AgentRpc {
    runner: Addr<Runner>,
    greeter: Greeter,
}

impl AgentRpc {
    pub fn new(runner: Addr<Runner>, greeter: Greeter) -> Self {
        Self { runner, greeter }
    }
}

impl agent::Server for AgentRpc {
    async fn run(self: Rc<Self>, params: RunParams, mut results: RunResults) -> Result<(), Error> {
        let task = read_task(params.get()?.get_task()?, Instant::now()).map_err(fail)?;
        let response = self.runner.send(Offer(task)).await.map_err(fail)?;
        let mut to = results.get().init_reply();
        write_load(to.reborrow().init_load(), &response.load);
        write_reply(to, &response.reply);
        Ok(())
    }

    async fn drain(
        self: Rc<Self>,
        params: DrainParams,
        mut results: DrainResults,
    ) -> Result<(), Error> {
        let drain = if params.get()?.get_on() { Drain::On } else { Drain::Off };
        self.runner.send(drain).await.map_err(fail)?;
        self.greeter.greet_now().await;
        let load = self.runner.send(Inspect).await.map_err(fail)?;
        write_load(results.get().init_load(), &load);
        Ok(())
    }
}

fn fail(e: impl std::fmt::Display) -> Error {
    Error::failed(e.to_string())
}
