//! Transfers with stand-ins of entries on loopback.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix::System;
use base::Token;
use capnp::Error;
use conf::CurrentFleet;
use config_sync::{ConfigExchange, ExchangeSettings};
use tokio::time::{sleep, timeout};
use wire::{
    Bootstrap,
    egret_capnp::entry::{GreetParams, GreetResults, Server},
};

const DOCUMENT: &str = "{}";
const LIMIT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const SETTINGS: ExchangeSettings =
    ExchangeSettings { delay: Duration::ZERO, retry_interval: RETRY_INTERVAL };

/// How a stand-in treats calls for documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Sends,
    /// is sending to others
    Busy,
    /// has an older version than it announced
    LacksVersion,
    /// is a process from before there was this call
    TooOld,
    /// doesn't answer
    Frozen,
}

/// Stand-in of an entry with version 2.
struct Entry {
    behaviour: Cell<Behaviour>,
    /// calls of processes that are behind
    requests: Cell<u32>,
    /// versions of the processes that were told of
    released: RefCell<Vec<u64>>,
    received: RefCell<Vec<(u64, String)>>,
}

struct EntryServer(Rc<Entry>);

impl Server for EntryServer {
    async fn greet(
        self: Rc<Self>,
        params: GreetParams,
        mut results: GreetResults,
    ) -> Result<(), Error> {
        let (params, entry) = (params.get()?, &self.0);
        if entry.behaviour.get() == Behaviour::TooOld {
            return Err(Error::unimplemented("greet".to_owned()));
        }
        if params.has_document() {
            let document = params.get_document()?.to_str()?.to_owned();
            entry.received.borrow_mut().push((params.get_info()?.get_version(), document));
        }
        results.get().set_version(2);
        if params.get_seen() >= 2 {
            entry.released.borrow_mut().push(params.get_seen());
            return Ok(());
        }
        entry.requests.set(entry.requests.get() + 1);
        match entry.behaviour.get() {
            Behaviour::Sends => results.get().set_document(DOCUMENT),
            Behaviour::LacksVersion => results.get().set_version(1),
            Behaviour::Frozen => sleep(LIMIT).await,
            Behaviour::Busy | Behaviour::TooOld => {}
        }
        Ok(())
    }
}

async fn start_entry(behaviour: Behaviour) -> (SocketAddr, Rc<Entry>) {
    let entry = Rc::new(Entry {
        behaviour: Cell::new(behaviour),
        requests: Cell::default(),
        released: RefCell::default(),
        received: RefCell::default(),
    });
    let listener = tokio::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = listener.await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let server = capnp_rpc::new_client(EntryServer(entry.clone()));
    actix::spawn(wire::serve(listener, Bootstrap::for_entry(Token::default(), server)));
    (address, entry)
}

fn start_exchange(version: u64) -> (Arc<CurrentFleet>, Rc<ConfigExchange>) {
    let fleet = Arc::<CurrentFleet>::default();
    if version > 0 {
        fleet.offer(version, DOCUMENT);
    }
    let exchange = ConfigExchange::new("a".into(), Token::default(), fleet.clone(), SETTINGS);
    (fleet, exchange)
}

async fn wait_until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, waiting).await.expect("condition met in time");
}

#[test]
fn one_entry_of_several_is_asked_and_told_of_the_end() {
    System::new().block_on(async {
        let (fleet, exchange) = start_exchange(1);
        let mut entries = Vec::new();
        for _ in 0..8 {
            let (address, entry) = start_entry(Behaviour::Sends).await;
            exchange.on_version(address, 2);
            entries.push(entry);
        }
        wait_until(|| entries.iter().any(|e| !e.released.borrow().is_empty())).await;
        assert_eq!(fleet.version(), 2);
        sleep(RETRY_INTERVAL * 4).await;
        assert_eq!(entries.iter().map(|e| e.requests.get()).sum::<u32>(), 1);
    });
}

#[test]
fn a_busy_entry_is_asked_again_after_others() {
    System::new().block_on(async {
        let (fleet, exchange) = start_exchange(1);
        let (address, entry) = start_entry(Behaviour::Busy).await;
        let (other_address, other) = start_entry(Behaviour::Busy).await;
        exchange.on_version(address, 2);
        exchange.on_version(other_address, 2);
        wait_until(|| entry.requests.get() >= 2 && other.requests.get() >= 2).await;
        entry.behaviour.set(Behaviour::Sends);
        wait_until(|| fleet.version() == 2).await;
    });
}

#[test]
fn a_frozen_entry_delays_a_transfer_by_a_second() {
    System::new().block_on(async {
        let (fleet, exchange) = start_exchange(1);
        let (address, frozen) = start_entry(Behaviour::Frozen).await;
        exchange.on_version(address, 2);
        wait_until(|| frozen.requests.get() == 1).await;
        let (address, _entry) = start_entry(Behaviour::Sends).await;
        exchange.on_version(address, 2);
        let done = timeout(Duration::from_millis(1500), wait_until(|| fleet.version() == 2));
        done.await.expect("from the other entry");
    });
}

#[test]
fn an_entry_without_the_version_that_it_announced_is_asked_once() {
    System::new().block_on(async {
        let (fleet, exchange) = start_exchange(1);
        let (address, entry) = start_entry(Behaviour::LacksVersion).await;
        for _ in 0..5 {
            exchange.on_version(address, 2);
            sleep(RETRY_INTERVAL).await;
        }
        assert_eq!((entry.requests.get(), fleet.version()), (1, 1));
    });
}

#[test]
fn an_entry_too_old_for_the_call_is_known_until_its_process_may_have_changed() {
    System::new().block_on(async {
        let (fleet, exchange) = start_exchange(1);
        let (address, entry) = start_entry(Behaviour::TooOld).await;
        exchange.on_version(address, 2);
        wait_until(|| exchange.is_inline_only(address)).await;
        entry.behaviour.set(Behaviour::Sends);
        exchange.on_version(address, 2);
        sleep(RETRY_INTERVAL * 2).await;
        assert_eq!((entry.requests.get(), fleet.version()), (0, 1));
        exchange.forget(address);
        exchange.on_version(address, 2);
        wait_until(|| fleet.version() == 2).await;
    });
}

#[test]
fn a_document_is_sent_to_one_entry_at_a_time() {
    System::new().block_on(async {
        let (_fleet, exchange) = start_exchange(3);
        let (address, entry) = start_entry(Behaviour::Sends).await;
        for _ in 0..3 {
            exchange.send(address);
        }
        wait_until(|| !entry.received.borrow().is_empty()).await;
        sleep(RETRY_INTERVAL).await;
        assert_eq!(*entry.received.borrow(), [(3, DOCUMENT.to_owned())]);
    });
}
