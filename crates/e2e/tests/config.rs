//! An accepted configuration is in force everywhere within five seconds, and
//! never reverts.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::Token;
use e2e::{Deployment, ToolOutput, on_loopback};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Time in which a change must be in force in every process.
const IN_FORCE: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(50);

/// Waits until every process has a version in force; none may fall meanwhile.
async fn check_in_force(it: &Deployment, version: u64) {
    let start = Instant::now();
    let mut highest = vec![None; it.config_versions().await.len()];
    loop {
        let versions = it.config_versions().await;
        check_no_fall(&mut highest, &versions);
        if versions.iter().all(|v| *v == Some(version)) {
            return;
        }
        assert!(start.elapsed() < IN_FORCE, "version {version} is not in force: {versions:?}");
        sleep(LOOK).await;
    }
}

/// Watches for a while that no process goes back.
async fn check_stays(it: &Deployment, version: u64, looks: u32) {
    for _ in 0..looks {
        let versions = it.config_versions().await;
        assert!(versions.iter().all(|v| *v == Some(version)), "not all at {version}: {versions:?}");
        sleep(LOOK).await;
    }
}

fn check_no_fall(highest: &mut [Option<u64>], versions: &[Option<u64>]) {
    for (highest, version) in highest.iter_mut().zip(versions) {
        assert!(version.is_none() || version >= highest, "{highest:?} fell to {version:?}");
        *highest = (*highest).max(*version);
    }
}

fn check_accepted(it: &Deployment, deadline_ms: u64) -> u64 {
    let ran = it.run_ctl(&["default-set", &format!("deadline_ms={deadline_ms}")]);
    assert_eq!(ran.code, 0, "{}", ran.stderr);
    version_of(&ran)
}

fn version_of(ran: &ToolOutput) -> u64 {
    ran.stdout.trim().rsplit(' ').next().and_then(|v| v.parse().ok()).expect("version is printed")
}

fn query(it: &Deployment, name: &str) -> Value {
    let ran = it.run_ctl(&[name, "--json"]);
    assert_eq!(ran.code, 0, "{}", ran.stderr);
    serde_json::from_str(&ran.stdout).expect("query prints JSON")
}

/// Whether the entry sends the document to an agent that has one version in
/// force and has seen another.
async fn is_taught(it: &Deployment, version: u64, seen: u64) -> bool {
    let address = SocketAddr::from(([127, 0, 0, 1], it.entry_rpc_ports[0]));
    let link = wire::dial(address, &Token::new(&it.token())).await.expect("entry is there");
    let mut req = link.entry().expect("it is an entry").greet_request();
    let mut info = req.get().init_info();
    info.set_name("old-agent");
    info.set_address("127.0.0.1:1");
    info.set_version(version);
    req.get().set_seen(seen);
    let res = req.send().promise.await.expect("entry answers");
    res.get().expect("answer can be read").has_document()
}

on_loopback! {
    change_is_in_force_in_every_process(it, 2, 3) {
        let version = check_accepted(&it, 5000);
        check_in_force(&it, version).await;
        sleep(Duration::from_millis(300)).await;
        let agents = query(&it, "agents");
        let agents = agents.as_array().expect("agents are listed");
        assert_eq!(agents.len(), 3);
        assert!(agents.iter().all(|a| a["version"] == version), "{agents:?}");
        let entries = query(&it, "entries");
        let entries = entries.as_array().expect("entries are listed");
        assert_eq!(entries.len(), 2);
        assert!(entries.iter().all(|e| e["says"]["version"] == version), "{entries:?}");
    }

    older_version_of_the_store_is_left_aside(it, 2, 2) {
        check_accepted(&it, 5000);
        let version = check_accepted(&it, 6000);
        check_in_force(&it, version).await;
        it.set_faults(&json!({"stale_reads": 1_000_000})).await;
        check_stays(&it, version, 20).await;
        it.entries[0].kill();
        it.entries[0] = it.start_entry(0);
        check_in_force(&it, version).await;
        check_stays(&it, version, 20).await;
    }

    lost_reply_is_settled_once(it, 1, 1) {
        it.set_faults(&json!({"lose_replies": 1})).await;
        let version = check_accepted(&it, 5000);
        check_in_force(&it, version).await;
        let history = query(&it, "history");
        assert_eq!(history["changes"].as_array().map(Vec::len), Some(1));
    }

    racing_operators_are_told_what_won(it, 1, 1) {
        it.set_faults(&json!({"slow_ms": 300})).await;
        let tools: Vec<_> = (0..8).map(|i| {
            let (author, value) = (format!("--author=op{i}"), format!("deadline_ms={}", 5000 + i));
            it.start_ctl(0, &[&author, "default-set", &value])
        }).collect();
        let runs: Vec<ToolOutput> = tools.into_iter().map(|t| t.finish()).collect();
        it.set_faults(&json!({})).await;
        let (won, lost): (Vec<_>, Vec<_>) = runs.iter().partition(|r| r.code == 0);
        assert!(!won.is_empty() && !lost.is_empty(), "{runs:?}");
        let history = query(&it, "history");
        let changes = history["changes"].as_array().expect("there are changes");
        assert_eq!(changes.len(), won.len());
        for ran in lost {
            assert_eq!(ran.code, 4, "{}", ran.stderr);
            let named = |c: &Value| c["author"].as_str().is_some_and(|a| ran.stderr.contains(a));
            assert!(changes.iter().any(named), "{}", ran.stderr);
        }
        let version = history["version"].as_u64().expect("there is a version");
        assert_eq!(version, 1 + changes.len() as u64);
        check_in_force(&it, version).await;
    }

    restart_in_an_outage_learns_from_peers(it, 2, 2) {
        let version = check_accepted(&it, 5000);
        check_in_force(&it, version).await;
        it.set_faults(&json!({"down": true})).await;
        it.entries[0].kill();
        it.agents[0].kill();
        it.entries[0] = it.start_entry(0);
        it.agents[0] = it.start_agent(0);
        check_in_force(&it, version).await;
        // every entry at once: the agents alone remember
        for i in 0..2 {
            it.entries[i].kill();
            it.entries[i] = it.start_entry(i);
        }
        check_in_force(&it, version).await;
    }

    woken_process_does_not_revert(it, 2, 2) {
        check_accepted(&it, 5000);
        it.entries[1].signal(Signal::SIGSTOP);
        it.agents[1].signal(Signal::SIGSTOP);
        check_accepted(&it, 6000);
        let version = check_accepted(&it, 7000);
        sleep(Duration::from_secs(2)).await;
        it.set_faults(&json!({"down": true})).await;
        it.entries[1].signal(Signal::SIGCONT);
        it.agents[1].signal(Signal::SIGCONT);
        check_in_force(&it, version).await;
        it.set_faults(&json!({"stale_reads": 1_000_000})).await;
        check_stays(&it, version, 20).await;
    }

    agents_learn_of_further_entries(it, 1, 2) {
        it.add_entry();
        let port = it.entry_ports[1];
        for _ in 0..400 {
            if it.metric(port, "egret_agents").await == Some(2) {
                return;
            }
            sleep(LOOK).await;
        }
        panic!("agents never greeted the new entry");
    }

    unreadable_version_is_left_aside(it, 1, 2) {
        it.write_row("fleet", 1, &json!({"from_the_future": 1}).to_string()).await;
        sleep(Duration::from_secs(1)).await;
        check_stays(&it, 1, 5).await;
        let request = json!({"team": "coop", "body": {}});
        assert_eq!(it.send(0, "request", &request).await.outcome(), "done");
    }

    document_that_an_agent_refused_is_not_sent_again(it, 1, 1) {
        let version = check_accepted(&it, 5000);
        check_in_force(&it, version).await;
        assert!(is_taught(&it, 1, 1).await);
        assert!(!is_taught(&it, 1, version).await);
    }

    faulty_change_is_refused_whole(it, 1, 1) {
        let cases: [(&[&str], i32, &str); 6] = [
            (&["exception-add", "ledger", "slots=4"], 1, "exceptions[0].reason"),
            (&["exception-add", "ledger", "slots=9999", "--reason", "r"], 1, "exceptions[0].values.slots"),
            (&["exception-add", "nothing", "slots=4", "--reason", "r"], 1, "exceptions[0].service"),
            (&["default-set", "deadline_s=4"], 1, "deadline_ms"),
            (&["default-set", "deadline_ms=4s"], 2, "milliseconds"),
            (&["--expect=7", "default-set", "deadline_ms=400"], 4, "version 1"),
        ];
        for (args, code, word) in cases {
            let args: Vec<_> = ["--author=ana"].iter().chain(args).copied().collect();
            let ran = it.run_ctl(&args);
            assert_eq!(ran.code, code, "{args:?}: {}", ran.stderr);
            assert!(ran.stderr.contains(word), "{args:?}: {}", ran.stderr);
        }
        assert_eq!(query(&it, "history")["version"], 1);
    }

    exception_is_shown_with_its_reason(it, 1, 1) {
        let reason = "old VM until March";
        let ran = it.run_ctl(&["--author=ana", "exception-add", "ledger", "slots=4", "--reason", reason]);
        assert_eq!(ran.code, 0, "{}", ran.stderr);
        let shown = &query(&it, "exceptions")["exceptions"][0];
        assert_eq!((shown["reason"].as_str(), shown["author"].as_str()), (Some(reason), Some("ana")));
        assert!(shown["added_ms"].as_u64().is_some_and(|ms| ms > 0));
        assert_eq!(it.run_ctl(&["exception-remove", "ledger", "slots"]).code, 0);
        assert_eq!(query(&it, "exceptions")["exceptions"], json!([]));
    }
}
