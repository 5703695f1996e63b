//! What an entry does with drained data centres: it learns of them from agents
//! and entries, passes them on, and sends no task there.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use base::{Name, Token};
use conf::CurrentFleet;
use dispatch::{Agents, DrainReport, Gossip};
use drain::{CurrentDrains, DrainedCentre, Drains};
use lease::{AgentLoad, Resources};
use wire::{Hello, SEND_NOTHING, Welcome, egret_capnp::worker};

struct IdleWorker;

impl worker::Server for IdleWorker {}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn drained(as_of: u64, centres: &[&str]) -> Drains {
    let centre = |name: &&str| (Name::from(*name), DrainedCentre { version: 4, since_ms: 7 });
    Drains { as_of, centres: centres.iter().map(centre).collect() }
}

fn start_gossip(drains: &Arc<CurrentDrains>) -> Rc<Gossip> {
    let fleet = Arc::<CurrentFleet>::default();
    Gossip::new("entry".into(), 1, "z9".into(), address(), Token::default(), fleet, drains.clone())
}

/// Heartbeat of an agent with half of its capacity in use.
fn hello(name: &str, centre: &str, drains: Drains) -> Hello {
    let cpu = |cpu| Resources { cpu, ..Resources::default() };
    let load = AgentLoad {
        ready: true,
        capacity: cpu(8000),
        free: cpu(4000),
        expected_wait: Duration::ZERO,
        slowness: 1.0,
        suspect: false,
        class_waits: None,
    };
    Hello {
        name: name.into(),
        incarnation: 1,
        centre: centre.into(),
        service: "svc".into(),
        labels: Vec::new(),
        load,
        config_version: 1,
        highest_offered: SEND_NOTHING,
        config: None,
        sent_at: Duration::ZERO,
        pinned: true,
        entries_digest: 0,
        drains,
        crash: None,
    }
}

/// Message of another entry.
fn known(drains: Drains) -> Welcome {
    Welcome {
        name: "other".into(),
        incarnation: 1,
        entries: Vec::new(),
        config_version: 0,
        config: None,
        surplus: false,
        entries_digest: 0,
        centre: "z9".into(),
        drains,
    }
}

fn start_agents(drains: &Arc<CurrentDrains>) -> Rc<Agents> {
    let agents = Agents::new(address(), 64, Duration::from_secs(5), drains.clone());
    for (name, centre) in [("a", "z1"), ("b", "z2"), ("c", "z1")] {
        let worker = capnp_rpc::new_client(IdleWorker);
        agents.on_heartbeat(&hello(name, centre, Drains::default()), Some(worker));
    }
    agents
}

fn names(agents: &Agents) -> Vec<Name> {
    agents.of_service("svc").iter().map(|a| a.name.clone()).collect()
}

// the agents say that they are ready, as they don't know of the drain yet
#[test]
fn no_task_is_sent_to_a_drained_data_centre() {
    let drains = Arc::<CurrentDrains>::default();
    let agents = start_agents(&drains);
    let all = ["a", "b", "c"].map(Name::from);
    assert_eq!(names(&agents), all, "without drains nothing changes");
    drains.offer(&drained(5, &["z1"]));
    assert_eq!(names(&agents), ["b".into()]);
    drains.offer(&drained(6, &["z1", "z2"]));
    assert!(names(&agents).is_empty());
    assert!(!agents.any_ready(), "the balancer sends callers elsewhere");
    drains.offer(&drained(7, &[]));
    assert_eq!(names(&agents), all);
    assert!(agents.any_ready());
}

// an entry would keep its selected agents where it sends no task, and no others
#[test]
fn agents_of_a_drained_data_centre_do_not_make_others_surplus() {
    let drains = Arc::<CurrentDrains>::default();
    let agents = Agents::new(address(), 1, Duration::from_secs(5), drains.clone());
    let beat = |name: &str, centre: &str| {
        let mut hello = hello(name, centre, Drains::default());
        hello.pinned = false;
        agents.on_heartbeat(&hello, Some(capnp_rpc::new_client(IdleWorker)))
    };
    let names: Vec<String> = (0..80).map(|i| format!("a{i}")).collect();
    let surplus = names.iter().map(|n| beat(n, "z1")).collect::<Vec<_>>();
    assert!(surplus.contains(&true), "there are more agents than needed");
    // every agent of the other data centre is needed once the first is drained
    drains.offer(&drained(5, &["z1"]));
    assert!(!beat("b", "z2"));
}

#[test]
fn an_entry_passes_on_what_it_learns_from_agents_and_entries() {
    let drains = Arc::<CurrentDrains>::default();
    let gossip = start_gossip(&drains);
    gossip.on_drains(&drained(5, &["z1"]));
    let welcome = gossip.welcome_agent(&hello("a", "z1", Drains::default()));
    assert_eq!((welcome.drains, &*welcome.centre), (drained(5, &["z1"]), "z9"));
    gossip.on_meet(address(), &known(drained(6, &["z2"])));
    assert_eq!(gossip.welcome(&"other".into(), 0).drains, drained(6, &["z2"]));
}

// an entry that was suspended would take a drain back
#[test]
fn a_stale_message_of_an_entry_does_not_replace_a_newer_state() {
    let drains = Arc::<CurrentDrains>::default();
    let gossip = start_gossip(&drains);
    gossip.on_meet(address(), &known(drained(6, &["z1"])));
    gossip.on_meet(address(), &known(drained(5, &[])));
    gossip.on_meet(address(), &known(Drains::default()));
    assert_eq!(drains.get(), drained(6, &["z1"]));
}

#[test]
fn operators_see_what_still_runs_in_a_drained_data_centre() {
    let drains = Arc::<CurrentDrains>::default();
    let agents = start_agents(&drains);
    assert!(agents.report_drains().is_empty());
    drains.offer(&drained(5, &["z1", "z3"]));
    let report = |centre: &str, agents, used_cpu| DrainReport {
        centre: centre.into(),
        version: 4,
        since_ms: 7,
        agents,
        busy_agents: agents,
        used_cpu,
    };
    assert_eq!(agents.report_drains(), [report("z1", 2, 8000), report("z3", 0, 0)]);
}
