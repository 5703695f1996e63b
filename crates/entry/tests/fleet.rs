//! What an entry knows of its fleet.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use base::Name;
use entry::{Agents, Rosters};
use roster::Roster;
use wire::{AgentInfo, Load};

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1);
const REVISIONS: u64 = 100_000;

fn agent(number: u32) -> AgentInfo {
    AgentInfo {
        name: format!("agent-{number}").as_str().into(),
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 7300)),
        centre: "".into(),
        rack: "".into(),
        service: "ledger".into(),
        load: Load { ready: true, ..Load::default() },
        config_version: 0,
        roster_epoch: 0,
    }
}

/// VMs are replaced under new names all day long.
#[test]
fn agents_that_are_gone_are_forgotten() {
    let agents = Agents::new(HEARTBEAT_TIMEOUT);
    for number in 0..5 {
        agents.on_heartbeat(agent(number));
    }
    thread::sleep(HEARTBEAT_TIMEOUT * 10);
    agents.on_heartbeat(agent(5));
    assert_eq!(agents.all().len(), 6, "a short outage is not the end of an agent");
    thread::sleep(HEARTBEAT_TIMEOUT * 60);
    agents.on_heartbeat(agent(6));
    assert_eq!(agents.all().len(), 1);
    assert_eq!(agents.of_service("ledger").len(), 1);
}

/// Rosters arrive from the table and from agents at the same time.
#[test]
fn an_older_roster_never_replaces_a_newer_one() {
    let rosters = Arc::<Rosters>::default();
    let service: Name = "ledger".into();
    let ended = Arc::<AtomicBool>::default();
    let writers: Vec<_> = (0..3)
        .map(|_| {
            let (rosters, service) = (rosters.clone(), service.clone());
            thread::spawn(move || {
                for revision in 1..=REVISIONS {
                    rosters.offer(&service, Roster { revision, ..Roster::default() });
                }
            })
        })
        .collect();
    let reader = {
        let (rosters, ended) = (rosters.clone(), ended.clone());
        thread::spawn(move || {
            let mut newest = 0;
            while !ended.load(Ordering::Relaxed) {
                let revision = rosters.get("ledger").revision;
                assert!(revision >= newest, "revision {revision} after {newest}");
                newest = revision;
            }
        })
    };
    for writer in writers {
        writer.join().expect("a writer ends");
    }
    ended.store(true, Ordering::Relaxed);
    reader.join().expect("revisions only rise");
    assert_eq!(rosters.get(&service).revision, REVISIONS);
}
