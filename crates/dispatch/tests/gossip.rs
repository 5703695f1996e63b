//! Which processes an entry sends its configuration to, and which it asks for theirs.

use std::{net::SocketAddr, rc::Rc, sync::Arc, thread, time::Duration};

use base::{Name, Token};
use conf::CurrentFleet;
use dispatch::Gossip;
use drain::Drains;
use lease::{AgentLoad, Resources};
use wire::{Hello, SEND_NOTHING};

const DOCUMENT: &str = "{}";
/// Time in which an entry waits for the store.
const STORE_READ_TIME: Duration = Duration::from_millis(450);

fn start(version: u64) -> Rc<Gossip> {
    let fleet = Arc::<CurrentFleet>::default();
    if version > 0 {
        fleet.offer(version, DOCUMENT);
    }
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Gossip::new("entry".into(), 1, "z1".into(), address, Token::default(), fleet, Arc::default())
}

/// Heartbeat of an agent with a version, that has seen `seen`.
fn hello(name: &str, version: u64, seen: u64) -> Hello {
    let load = AgentLoad {
        ready: true,
        capacity: Resources::default(),
        free: Resources::default(),
        expected_wait: Duration::ZERO,
        slowness: 1.0,
        suspect: false,
        class_waits: None,
    };
    Hello {
        name: name.into(),
        incarnation: 1,
        centre: "z1".into(),
        service: "svc".into(),
        labels: Vec::new(),
        load,
        config_version: version,
        highest_offered: seen,
        config: None,
        sent_at: Duration::ZERO,
        pinned: false,
        entries_digest: 0,
        drains: Drains::default(),
        crash: None,
    }
}

#[test]
fn a_heartbeat_is_answered_without_the_document() {
    let welcome = start(2).welcome_agent(&hello("a", 1, SEND_NOTHING));
    assert_eq!((welcome.config_version, welcome.config), (2, None));
}

#[test]
fn one_process_at_a_time_gets_the_document() {
    let (gossip, [a, b]) = (start(2), ["a", "b"].map(Name::from));
    assert_eq!(gossip.document_for(&a, 1).map(|d| d.version), Some(2));
    assert_eq!(gossip.document_for(&b, 1), None);
    assert_eq!(gossip.document_for(&a, 2), None);
    // the pause is as long as the transfer
    thread::sleep(Duration::from_millis(50));
    assert!(gossip.document_for(&b, 1).is_some());
}

#[test]
fn one_older_agent_at_a_time_gets_the_document_with_a_heartbeat() {
    let gossip = start(2);
    let sent = |name| gossip.welcome_agent(&hello(name, 1, 1)).config.is_some();
    assert_eq!([sent("a"), sent("b"), sent("c")], [true, false, false]);
}

#[test]
fn one_agent_with_a_newer_version_is_asked_for_it_after_the_store_had_time() {
    let gossip = start(1);
    let shown = |name| gossip.welcome_agent(&hello(name, 2, SEND_NOTHING)).config_version;
    assert_eq!([shown("a"), shown("b")], [2, 2]);
    thread::sleep(STORE_READ_TIME);
    assert_eq!([shown("a"), shown("b")], [1, 2]);
    gossip.on_document(&"a".into(), 2, DOCUMENT);
    assert_eq!([shown("a"), shown("b")], [2, 2]);
}

#[test]
fn an_entry_without_a_configuration_asks_one_agent_at_once() {
    let gossip = start(0);
    let shown = |name| gossip.welcome_agent(&hello(name, 1, SEND_NOTHING)).config_version;
    assert_eq!([shown("a"), shown("b")], [0, 1]);
}
