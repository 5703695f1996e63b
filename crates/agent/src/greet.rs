use std::{cell::RefCell, collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use actix::Addr;
use base::{Event, Member, Name, Token};
use conf::AgentSettings;
use futures::future::join_all;
use tokio::time::{sleep, timeout};
use wire::{AgentInfo, Link, dial, write_info};

use crate::run::{Inspect, Runner};

/// Who this agent is, as long as the process runs.
#[derive(Clone, Debug)]
pub struct Identity {
    pub name: Name,
    pub incarnation: u64,
    pub address: SocketAddr,
    pub centre: Name,
    pub rack: Name,
    pub service: Name,
}

impl Identity {
    pub fn new(settings: &AgentSettings, incarnation: u64) -> Self {
        Self {
            name: settings.name.clone(),
            incarnation,
            address: settings.rpc,
            centre: settings.centre.clone(),
            rack: settings.rack.clone(),
            service: settings.service.clone(),
        }
    }

    /// How a roster lists this agent.
    pub fn member(&self) -> Member {
        Member {
            name: self.name.clone(),
            incarnation: self.incarnation,
            address: self.address,
            centre: self.centre.clone(),
            rack: self.rack.clone(),
        }
    }
}

/// Greets every entry at each beat, and learns of further entries.
#[derive(Clone)]
pub struct Greeter {
    state: Rc<State>,
}

struct State {
    identity: Identity,
    token: Token,
    beat: Duration,
    runner: Addr<Runner>,
    known: RefCell<HashSet<SocketAddr>>,
    links: RefCell<Vec<Rc<Link>>>,
}

impl Greeter {
    pub fn new(settings: &AgentSettings, identity: Identity, runner: Addr<Runner>) -> Self {
        let state = State {
            identity,
            token: settings.token.clone(),
            beat: Duration::from_millis(settings.beat_ms),
            runner,
            known: RefCell::new(settings.entries.iter().copied().collect()),
            links: RefCell::default(),
        };
        Self { state: Rc::new(state) }
    }

    /// Starts to greet every entry known so far.
    pub fn start(&self) {
        let known: Vec<SocketAddr> = self.state.known.borrow().iter().copied().collect();
        for entry in known {
            actix::spawn(self.clone().keep_greeting(entry));
        }
    }

    /// Tells every connected entry at once how this agent stands.
    pub async fn greet_now(&self) {
        let links = self.state.links.borrow().clone();
        join_all(links.iter().map(|link| timeout(self.state.beat, self.greet(link)))).await;
    }

    async fn keep_greeting(self, entry: SocketAddr) {
        loop {
            if let Ok(link) = dial(entry, &self.state.token).await {
                self.stay(Rc::new(link)).await;
            }
            sleep(self.state.beat).await;
        }
    }

    /// Greets over one link for as long as it lasts.
    async fn stay(&self, link: Rc<Link>) {
        self.state.links.borrow_mut().push(link.clone());
        while !link.is_down() {
            if let Err(e) = self.greet(&link).await {
                Event::LinkLost.log(format_args!("entry {}: {e}", link.address()));
                break;
            }
            sleep(self.state.beat).await;
        }
        self.state.links.borrow_mut().retain(|l| !Rc::ptr_eq(l, &link));
    }

    async fn greet(&self, link: &Link) -> wire::Result<()> {
        let load = self.state.runner.send(Inspect).await.unwrap_or_default();
        let id = &self.state.identity;
        let info = AgentInfo {
            name: id.name.clone(),
            incarnation: id.incarnation,
            address: id.address,
            centre: id.centre.clone(),
            rack: id.rack.clone(),
            service: id.service.clone(),
            load,
            version: 0,
            epoch: 0,
        };
        let mut req = link.entry()?.greet_request();
        write_info(req.get().init_info(), &info);
        let res = req.send().promise.await?;
        for entry in res.get()?.get_entries()?.iter() {
            self.learn(entry?.to_str().unwrap_or_default());
        }
        Ok(())
    }

    fn learn(&self, entry: &str) {
        let Ok(entry) = entry.parse() else { return };
        if self.state.known.borrow_mut().insert(entry) {
            actix::spawn(self.clone().keep_greeting(entry));
        }
    }
}
