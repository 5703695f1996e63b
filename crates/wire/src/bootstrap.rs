use std::{cell::Cell, rc::Rc};

use base::{Event, Token};
use capnp::Error;

use crate::{
    PROTOCOL_VERSION,
    egret_capnp::{agent, entry, gate},
};

/// Bootstrap object of a connection: returns the server objects to peers that
/// present the fleet token.
#[derive(Clone)]
pub struct Bootstrap {
    token: Token,
    agent: Option<agent::Client>,
    entry: Option<entry::Client>,
    authenticated: Rc<Cell<bool>>,
}

impl Bootstrap {
    pub fn for_agent(token: Token, agent: agent::Client) -> Self {
        Self { token, agent: Some(agent), entry: None, authenticated: Rc::default() }
    }

    pub fn for_entry(token: Token, entry: entry::Client) -> Self {
        Self { token, agent: None, entry: Some(entry), authenticated: Rc::default() }
    }

    /// The same object for a new connection that is not authenticated yet.
    pub(crate) fn for_connection(&self) -> Self {
        Self { authenticated: Rc::default(), ..self.clone() }
    }

    /// Set once the peer has presented the token.
    pub(crate) fn authenticated(&self) -> Rc<Cell<bool>> {
        self.authenticated.clone()
    }
}

impl gate::Server for Bootstrap {
    async fn open(
        self: Rc<Self>,
        params: gate::OpenParams,
        mut results: gate::OpenResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        if !self.token.matches(params.get_token()?) {
            return Err(reject("wrong token"));
        }
        if params.get_protocol() != PROTOCOL_VERSION {
            return Err(reject("wrong protocol version"));
        }
        self.authenticated.set(true);
        let mut results = results.get();
        if let Some(agent) = &self.agent {
            results.set_agent(agent.clone());
        }
        if let Some(entry) = &self.entry {
            results.set_entry(entry.clone());
        }
        Ok(())
    }
}

fn reject(reason: &str) -> Error {
    Event::PeerRejected.log(format_args!("{reason}"));
    Error::failed(reason.to_owned())
}
