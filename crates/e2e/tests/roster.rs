//! Homes are lost, frozen, restarted and stopped while tasks run: none starts
//! twice, and what goes on goes on.

use std::{collections::BTreeMap, time::Duration};

use actix_web::rt::time::sleep;
use base::now_ms;
use e2e::{Deployment, Response};
use futures::future::{join, join_all};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

/// Until clocks that lie a second apart agree that a takeover is over: calls
/// begun before it are refused.
const CLOCKS_MS: u64 = 1200;

macro_rules! on_loopback {
    ($($name:ident($deployment:ident, $entries:literal, $agents:literal) $body:block)*) => {
        $(#[actix_web::test]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $deployment = Deployment::start($entries, $agents).await;
            let all: Vec<_> = (0..$agents).collect();
            $deployment.wait_settled(&all, 0).await;
            $body
        })*
    };
}

/// A key, when it was issued, and what came back for it.
struct Call {
    key: String,
    issued: u64,
    sent: Response,
}

fn request(key: &str, issued: u64, run_ms: u64) -> Value {
    json!({
        "team": "coop", "key": key, "issued_ms": issued, "deadline_ms": 15_000,
        "body": {"run_ms": run_ms},
    })
}

async fn pause(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// Sends one request after the other through both entries.
async fn drive(it: &Deployment, prefix: &str, count: usize, every_ms: u64) -> Vec<Call> {
    let sends = (0..count).map(|i| async move {
        pause(every_ms * i as u64).await;
        send(it, i % 2, format!("{prefix}-{i}"), now_ms()).await
    });
    join_all(sends).await
}

/// Sends every key again through the other entry.
async fn resend(it: &Deployment, calls: &[Call]) -> Vec<Call> {
    let sends = calls.iter().enumerate();
    let sends = sends.map(|(i, call)| send(it, (i + 1) % 2, call.key.clone(), call.issued));
    join_all(sends).await
}

async fn send(it: &Deployment, entry: usize, key: String, issued: u64) -> Call {
    let sent = it.send(entry, "request", &request(&key, issued, 40)).await;
    Call { key, issued, sent }
}

fn outcomes(calls: &[Call]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for call in calls {
        *counts.entry(call.sent.outcome().to_owned()).or_default() += 1;
    }
    counts
}

/// Place of the agent that started a task.
async fn executor(it: &Deployment, key: &str) -> usize {
    for _ in 0..200 {
        for i in 0..it.agents.len() {
            if it.starts_at(i).await.iter().any(|start| start.key == key) {
                return i;
            }
        }
        pause(20).await;
    }
    panic!("{key} was never started");
}

async fn check_never_twice(it: &Deployment) {
    let starts = it.starts().await;
    let twice: Vec<_> = starts.iter().filter(|(_, n)| **n > 1).collect();
    assert!(twice.is_empty(), "started more than once: {twice:?}");
}

fn check_all_done(calls: &[Call]) {
    let rest: Vec<_> = calls.iter().filter(|c| c.sent.outcome() != "done").collect();
    let told: Vec<_> = rest.iter().map(|c| (&c.key, &c.sent.body)).collect();
    assert!(rest.is_empty(), "{} of {}: {told:?}", rest.len(), calls.len());
}

on_loopback! {
    home_killed_while_it_grants(it, 2, 4) {
        let load = drive(&it, "h", 200, 5);
        let killed = async {
            pause(500).await;
            it.agents[0].signal(Signal::SIGKILL);
        };
        let (first, ()) = join(load, killed).await;
        it.wait_settled(&[1, 2, 3], 0).await;
        let again = resend(&it, &first).await;
        println!("first {:?}, again {:?}", outcomes(&first), outcomes(&again));
        check_never_twice(&it).await;
        pause(CLOCKS_MS).await;
        check_all_done(&drive(&it, "fresh", 40, 5).await);
    }

    home_and_executor_killed_together(it, 2, 5) {
        let key = it.key_with_home(0, &[0, 1, 2, 3, 4], "both");
        let body = request(&key, now_ms(), 6000);
        let lost = async {
            let at = executor(&it, &key).await;
            assert_ne!(at, 0, "the executor is never the home");
            it.agents[at].signal(Signal::SIGKILL);
            it.agents[0].signal(Signal::SIGKILL);
            at
        };
        let (first, at) = join(it.send(0, "request", &body), lost).await;
        assert_eq!(first.outcome(), "unknown", "{:?}", first.body);
        let rest: Vec<_> = (1..5).filter(|i| *i != at).collect();
        let roster = it.wait_settled(&rest, 0).await;
        assert!(roster.record_losses.iter().any(|m| m.epoch == roster.epoch), "{roster:?}");
        let again = it.send(1, "request", &body).await;
        assert_eq!(again.outcome(), "unknown", "{:?}", again.body);
        check_never_twice(&it).await;
        pause(CLOCKS_MS).await;
        check_all_done(&drive(&it, "fresh", 40, 5).await);
    }

    home_frozen_past_its_permit_and_woken(it, 2, 4) {
        let load = drive(&it, "z", 300, 15);
        let frozen = async {
            pause(300).await;
            it.agents[0].signal(Signal::SIGSTOP);
            let roster = it.wait_settled(&[1, 2, 3], 0).await;
            it.agents[0].signal(Signal::SIGCONT);
            it.wait_settled(&[0, 1, 2, 3], roster.epoch).await
        };
        let (first, roster) = join(load, frozen).await;
        assert!(roster.members.iter().any(|m| &*m.name == "agent-0"));
        let again = resend(&it, &first).await;
        println!("first {:?}, again {:?}", outcomes(&first), outcomes(&again));
        check_never_twice(&it).await;
        check_all_done(&drive(&it, "fresh", 40, 5).await);
    }

    agents_restarted_back_to_back(it, 2, 4) {
        let mut first = Vec::new();
        for i in [0, 1, 0] {
            let epoch = it.roster().await.epoch;
            let (sent, ()) = join(drive(&it, &format!("r{epoch}"), 60, 5), async {
                pause(100).await;
                it.agents[i].signal(Signal::SIGKILL);
            }).await;
            first.extend(sent);
            it.agents[i].kill();
            it.agents[i] = it.start_agent(i);
            it.wait_settled(&[0, 1, 2, 3], epoch).await;
        }
        let again = resend(&it, &first).await;
        println!("first {:?}, again {:?}", outcomes(&first), outcomes(&again));
        check_never_twice(&it).await;
        it.wait_ready().await;
        pause(CLOCKS_MS).await;
        check_all_done(&drive(&it, "fresh", 40, 5).await);
    }

    platform_down_while_a_member_dies(it, 2, 4) {
        it.set_faults(&json!({"down": true})).await;
        it.agents[0].kill();
        pause(2500).await;
        for i in 1..4 {
            let key = it.key_with_home(i, &[0, 1, 2, 3], "kept");
            let sent = it.send(i % 2, "request", &request(&key, now_ms(), 20)).await;
            assert_eq!(sent.outcome(), "done", "home {i}: {:?}", sent.body);
        }
        let moved = it.key_with_home(0, &[0, 1, 2, 3], "moved");
        let body = json!({"team": "coop", "key": moved, "deadline_ms": 3000, "body": {"run_ms": 5}});
        let sent = it.send(0, "request", &body).await;
        assert!(["unknown", "not-run"].contains(&sent.outcome()), "{:?}", sent.body);
        it.set_faults(&json!({})).await;
        it.wait_settled(&[1, 2, 3], 0).await;
        pause(CLOCKS_MS).await;
        check_all_done(&drive(&it, "fresh", 40, 5).await);
        check_never_twice(&it).await;
    }

    planned_stop_of_every_agent_leaves_nothing_unknown(it, 2, 4) {
        let mut sent = Vec::new();
        for i in 0..4 {
            let epoch = it.roster().await.epoch;
            let agent = &mut it.agents[i];
            agent.signal(Signal::SIGTERM);
            sent.extend(drive(&it, &format!("s{i}"), 150, 10).await);
            it.agents[i].kill();
            it.agents[i] = it.start_agent(i);
            it.wait_settled(&[0, 1, 2, 3], epoch).await;
            it.wait_ready().await;
        }
        let roster = it.roster().await;
        assert!(roster.record_losses.is_empty(), "{roster:?}");
        check_all_done(&sent);
        check_never_twice(&it).await;
    }
}
