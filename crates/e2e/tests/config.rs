//! An accepted configuration is in force in every process within five seconds,
//! and no process goes back to an older one.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::Token;
use e2e::{Deployment, ToolOutput, on_loopback};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Time within which a change must be in force in every process.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until a version is in force in every process; none may go back meanwhile.
async fn wait_in_force(it: &Deployment, version: u64) {
    let start = Instant::now();
    let mut highest = vec![None; it.config_versions().await.len()];
    loop {
        let versions = it.config_versions().await;
        check_no_decrease(&mut highest, &versions);
        if versions.iter().all(|v| *v == Some(version)) {
            return;
        }
        assert!(
            start.elapsed() < IN_FORCE_TIMEOUT,
            "version {version} is not in force: {versions:?}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Checks in a number of polls that every process keeps a version.
async fn check_stays(it: &Deployment, version: u64, polls: u32) {
    for _ in 0..polls {
        let versions = it.config_versions().await;
        assert!(versions.iter().all(|v| *v == Some(version)), "not all at {version}: {versions:?}");
        sleep(POLL_INTERVAL).await;
    }
}

fn check_no_decrease(highest: &mut [Option<u64>], versions: &[Option<u64>]) {
    for (highest, version) in highest.iter_mut().zip(versions) {
        assert!(version.is_none() || version >= highest, "{highest:?} decreased to {version:?}");
        *highest = (*highest).max(*version);
    }
}

fn set_default_deadline(it: &Deployment, deadline_ms: u64) -> u64 {
    let output = it.run_ctl(&["default-set", &format!("deadline_ms={deadline_ms}")]);
    assert_eq!(output.code, 0, "{}", output.stderr);
    version_of(&output)
}

fn version_of(output: &ToolOutput) -> u64 {
    output
        .stdout
        .trim()
        .rsplit(' ')
        .next()
        .and_then(|v| v.parse().ok())
        .expect("version is printed")
}

fn query(it: &Deployment, name: &str) -> Value {
    let output = it.run_ctl(&[name, "--json"]);
    assert_eq!(output.code, 0, "{}", output.stderr);
    serde_json::from_str(&output.stdout).expect("query prints JSON")
}

/// Whether the entry sends its configuration to an agent that has `version` in
/// force and was offered `highest_offered`.
async fn is_config_sent(it: &Deployment, version: u64, highest_offered: u64) -> bool {
    let address = SocketAddr::from(([127, 0, 0, 1], it.entry_rpc_ports[0]));
    let link = wire::dial(address, &Token::new(&it.token())).await.expect("entry accepts the link");
    let mut req = link.entry().expect("it is an entry").greet_request();
    let mut info = req.get().init_info();
    info.set_name("old-agent");
    info.set_address("127.0.0.1:1");
    info.set_version(version);
    req.get().set_seen(highest_offered);
    let res = req.send().promise.await.expect("entry answers");
    res.get().expect("answer can be read").has_document()
}

on_loopback! {
    change_is_in_force_in_every_process(it, 2, 3) {
        let version = set_default_deadline(&it, 5000);
        wait_in_force(&it, version).await;
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

    older_version_from_the_store_is_ignored(it, 2, 2) {
        set_default_deadline(&it, 5000);
        let version = set_default_deadline(&it, 6000);
        wait_in_force(&it, version).await;
        it.set_faults(&json!({"stale_reads": 1_000_000})).await;
        check_stays(&it, version, 20).await;
        it.entries[0].kill();
        it.entries[0] = it.start_entry(0);
        wait_in_force(&it, version).await;
        check_stays(&it, version, 20).await;
    }

    change_is_applied_once_when_the_reply_is_lost(it, 1, 1) {
        it.set_faults(&json!({"lose_replies": 1})).await;
        let version = set_default_deadline(&it, 5000);
        wait_in_force(&it, version).await;
        let history = query(&it, "history");
        assert_eq!(history["changes"].as_array().map(Vec::len), Some(1));
    }

    losers_of_a_write_conflict_are_told_the_winner(it, 1, 1) {
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
        for output in lost {
            assert_eq!(output.code, 4, "{}", output.stderr);
            let named = |c: &Value| c["author"].as_str().is_some_and(|a| output.stderr.contains(a));
            assert!(changes.iter().any(named), "{}", output.stderr);
        }
        let version = history["version"].as_u64().expect("there is a version");
        assert_eq!(version, 1 + changes.len() as u64);
        wait_in_force(&it, version).await;
    }

    process_restarted_in_an_outage_learns_the_version_from_peers(it, 2, 2) {
        let version = set_default_deadline(&it, 5000);
        wait_in_force(&it, version).await;
        it.set_faults(&json!({"down": true})).await;
        it.entries[0].kill();
        it.agents[0].kill();
        it.entries[0] = it.start_entry(0);
        it.agents[0] = it.start_agent(0);
        wait_in_force(&it, version).await;
        // all entries at once: only the agents still have the version
        for i in 0..2 {
            it.entries[i].kill();
            it.entries[i] = it.start_entry(i);
        }
        wait_in_force(&it, version).await;
    }

    resumed_process_does_not_revert(it, 2, 2) {
        set_default_deadline(&it, 5000);
        it.entries[1].signal(Signal::SIGSTOP);
        it.agents[1].signal(Signal::SIGSTOP);
        set_default_deadline(&it, 6000);
        let version = set_default_deadline(&it, 7000);
        sleep(Duration::from_secs(2)).await;
        it.set_faults(&json!({"down": true})).await;
        it.entries[1].signal(Signal::SIGCONT);
        it.agents[1].signal(Signal::SIGCONT);
        wait_in_force(&it, version).await;
        it.set_faults(&json!({"stale_reads": 1_000_000})).await;
        check_stays(&it, version, 20).await;
    }

    agents_discover_an_added_entry(it, 1, 2) {
        it.add_entry();
        let port = it.entry_ports[1];
        for _ in 0..400 {
            if it.metric(port, "egret_agents").await == Some(2) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("agents never sent heartbeats to the new entry");
    }

    unreadable_version_is_ignored(it, 1, 2) {
        it.write_row("fleet", 1, &json!({"from_the_future": 1}).to_string()).await;
        sleep(Duration::from_secs(1)).await;
        check_stays(&it, 1, 5).await;
        let request = json!({"team": "coop", "body": {}});
        assert_eq!(it.send(0, "request", &request).await.outcome(), "done");
    }

    configuration_that_an_agent_rejected_is_not_sent_again(it, 1, 1) {
        let version = set_default_deadline(&it, 5000);
        wait_in_force(&it, version).await;
        assert!(is_config_sent(&it, 1, 1).await);
        assert!(!is_config_sent(&it, 1, version).await);
    }

    invalid_change_is_rejected_whole(it, 1, 1) {
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
            let output = it.run_ctl(&args);
            assert_eq!(output.code, code, "{args:?}: {}", output.stderr);
            assert!(output.stderr.contains(word), "{args:?}: {}", output.stderr);
        }
        assert_eq!(query(&it, "history")["version"], 1);
    }

    exception_is_shown_with_its_reason(it, 1, 1) {
        let reason = "old VM until March";
        let output =
            it.run_ctl(&["--author=ana", "exception-add", "ledger", "slots=4", "--reason", reason]);
        assert_eq!(output.code, 0, "{}", output.stderr);
        let shown = &query(&it, "exceptions")["exceptions"][0];
        assert_eq!((shown["reason"].as_str(), shown["author"].as_str()), (Some(reason), Some("ana")));
        assert!(shown["added_ms"].as_u64().is_some_and(|ms| ms > 0));
        assert_eq!(it.run_ctl(&["exception-remove", "ledger", "slots"]).code, 0);
        assert_eq!(query(&it, "exceptions")["exceptions"], json!([]));
    }
}
