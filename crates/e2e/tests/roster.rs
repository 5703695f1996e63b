//! No task starts twice while homes are killed, frozen, restarted and stopped, and
//! requests are served again after each change of the roster.

use std::{collections::BTreeMap, time::Duration};

use actix_web::rt::time::sleep;
use base::now_ms;
use e2e::{Deployment, Response};
use futures::future::{join, join_all};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

/// Wait after a takeover. Calls issued before it are refused, and clocks may be a
/// second apart.
const TAKEOVER_WAIT_MS: u64 = 1200;

macro_rules! on_settled_roster {
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

/// A request sent under a key, and its response.
struct Call {
    key: String,
    issued_ms: u64,
    res: Response,
}

fn request(key: &str, issued_ms: u64, run_ms: u64) -> Value {
    json!({
        "team": "coop", "key": key, "issued_ms": issued_ms, "deadline_ms": 15_000,
        "body": {"run_ms": run_ms},
    })
}

async fn sleep_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// Sends requests through both entries in turn, one every `interval_ms`.
async fn send_all(it: &Deployment, prefix: &str, count: usize, interval_ms: u64) -> Vec<Call> {
    let sends = (0..count).map(|i| async move {
        sleep_ms(interval_ms * i as u64).await;
        send(it, i % 2, format!("{prefix}-{i}"), now_ms()).await
    });
    join_all(sends).await
}

/// Sends every key again through the other entry.
async fn resend(it: &Deployment, calls: &[Call]) -> Vec<Call> {
    let sends = calls.iter().enumerate();
    let sends = sends.map(|(i, call)| send(it, (i + 1) % 2, call.key.clone(), call.issued_ms));
    join_all(sends).await
}

async fn send(it: &Deployment, entry: usize, key: String, issued_ms: u64) -> Call {
    let res = it.send(entry, "request", &request(&key, issued_ms, 40)).await;
    Call { key, issued_ms, res }
}

fn outcomes(calls: &[Call]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for call in calls {
        *counts.entry(call.res.outcome().to_owned()).or_default() += 1;
    }
    counts
}

/// Waits for a task to start; index of the agent that runs it.
async fn wait_running_agent(it: &Deployment, key: &str) -> usize {
    for _ in 0..200 {
        for i in 0..it.agents.len() {
            if it.starts_at(i).await.iter().any(|start| start.key == key) {
                return i;
            }
        }
        sleep_ms(20).await;
    }
    panic!("{key} was never started");
}

async fn check_never_twice(it: &Deployment) {
    let starts = it.starts().await;
    let repeated: Vec<_> = starts.iter().filter(|(_, n)| **n > 1).collect();
    assert!(repeated.is_empty(), "started more than once: {repeated:?}");
}

fn check_all_done(calls: &[Call]) {
    let others: Vec<_> = calls.iter().filter(|c| c.res.outcome() != "done").collect();
    let bodies: Vec<_> = others.iter().map(|c| (&c.key, &c.res.body)).collect();
    assert!(others.is_empty(), "{} of {} not done: {bodies:?}", others.len(), calls.len());
}

on_settled_roster! {
    home_is_killed_while_it_grants_claims(it, 2, 4) {
        let load = send_all(&it, "h", 200, 5);
        let kill = async {
            sleep_ms(500).await;
            it.agents[0].signal(Signal::SIGKILL);
        };
        let (first, ()) = join(load, kill).await;
        it.wait_settled(&[1, 2, 3], 0).await;
        let again = resend(&it, &first).await;
        println!("first {:?}, again {:?}", outcomes(&first), outcomes(&again));
        check_never_twice(&it).await;
        sleep_ms(TAKEOVER_WAIT_MS).await;
        check_all_done(&send_all(&it, "fresh", 40, 5).await);
    }

    home_and_executing_agent_are_killed_together(it, 2, 5) {
        let key = it.key_with_home(0, &[0, 1, 2, 3, 4], "both");
        let body = request(&key, now_ms(), 6000);
        let kill = async {
            let at = wait_running_agent(&it, &key).await;
            assert_ne!(at, 0, "the home of a task never runs it");
            it.agents[at].signal(Signal::SIGKILL);
            it.agents[0].signal(Signal::SIGKILL);
            at
        };
        let (first, at) = join(it.send(0, "request", &body), kill).await;
        assert_eq!(first.outcome(), "unknown", "{:?}", first.body);
        let rest: Vec<_> = (1..5).filter(|i| *i != at).collect();
        let roster = it.wait_settled(&rest, 0).await;
        assert!(roster.record_losses.iter().any(|m| m.epoch == roster.epoch), "{roster:?}");
        let again = it.send(1, "request", &body).await;
        assert_eq!(again.outcome(), "unknown", "{:?}", again.body);
        check_never_twice(&it).await;
        sleep_ms(TAKEOVER_WAIT_MS).await;
        check_all_done(&send_all(&it, "fresh", 40, 5).await);
    }

    home_is_frozen_past_its_permit_and_resumed(it, 2, 4) {
        let load = send_all(&it, "z", 300, 15);
        let freeze = async {
            sleep_ms(300).await;
            it.agents[0].signal(Signal::SIGSTOP);
            let roster = it.wait_settled(&[1, 2, 3], 0).await;
            it.agents[0].signal(Signal::SIGCONT);
            it.wait_settled(&[0, 1, 2, 3], roster.epoch).await
        };
        let (first, roster) = join(load, freeze).await;
        assert!(roster.members.iter().any(|m| &*m.name == "agent-0"));
        let again = resend(&it, &first).await;
        println!("first {:?}, again {:?}", outcomes(&first), outcomes(&again));
        check_never_twice(&it).await;
        check_all_done(&send_all(&it, "fresh", 40, 5).await);
    }

    agents_are_restarted_in_quick_succession(it, 2, 4) {
        let mut first = Vec::new();
        for i in [0, 1, 0] {
            let epoch = it.roster().await.epoch;
            let (calls, ()) = join(send_all(&it, &format!("r{epoch}"), 60, 5), async {
                sleep_ms(100).await;
                it.agents[i].signal(Signal::SIGKILL);
            }).await;
            first.extend(calls);
            it.agents[i].kill();
            it.agents[i] = it.start_agent(i);
            it.wait_settled(&[0, 1, 2, 3], epoch).await;
        }
        let again = resend(&it, &first).await;
        println!("first {:?}, again {:?}", outcomes(&first), outcomes(&again));
        check_never_twice(&it).await;
        it.wait_ready().await;
        sleep_ms(TAKEOVER_WAIT_MS).await;
        check_all_done(&send_all(&it, "fresh", 40, 5).await);
    }

    member_is_killed_while_the_platform_is_down(it, 2, 4) {
        it.set_faults(&json!({"down": true})).await;
        it.agents[0].kill();
        sleep_ms(2500).await;
        for i in 1..4 {
            let key = it.key_with_home(i, &[0, 1, 2, 3], "kept");
            let res = it.send(i % 2, "request", &request(&key, now_ms(), 20)).await;
            assert_eq!(res.outcome(), "done", "home {i}: {:?}", res.body);
        }
        let moved = it.key_with_home(0, &[0, 1, 2, 3], "moved");
        let body = json!({"team": "coop", "key": moved, "deadline_ms": 3000, "body": {"run_ms": 5}});
        let res = it.send(0, "request", &body).await;
        assert!(["unknown", "not-run"].contains(&res.outcome()), "{:?}", res.body);
        it.set_faults(&json!({})).await;
        it.wait_settled(&[1, 2, 3], 0).await;
        sleep_ms(TAKEOVER_WAIT_MS).await;
        check_all_done(&send_all(&it, "fresh", 40, 5).await);
        check_never_twice(&it).await;
    }

    planned_stop_of_every_agent_leaves_nothing_unknown(it, 2, 4) {
        let mut calls = Vec::new();
        for i in 0..4 {
            let epoch = it.roster().await.epoch;
            let agent = &mut it.agents[i];
            agent.signal(Signal::SIGTERM);
            calls.extend(send_all(&it, &format!("s{i}"), 150, 10).await);
            it.agents[i].kill();
            it.agents[i] = it.start_agent(i);
            it.wait_settled(&[0, 1, 2, 3], epoch).await;
            it.wait_ready().await;
        }
        let roster = it.roster().await;
        assert!(roster.record_losses.is_empty(), "{roster:?}");
        check_all_done(&calls);
        check_never_twice(&it).await;
    }
}
