//! Planned stops cut nothing, and a leaving backend server gets no new work.

use std::{rc::Rc, time::Duration};

use actix_web::rt::spawn;
use e2e::{Balancer, Deployment, Response};
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::sleep;

/// A leaving backend server may get new work for this long.
const LEAVE_MS: u64 = 3000;

/// Time between two requests that leaves slots free, milliseconds.
const EASY_MS: u64 = 10;
/// Time between two requests that keeps most slots busy, milliseconds.
const BUSY_MS: u64 = 5;

/// Sends `count` requests, one every `gap_ms`, each with a key of its own.
async fn send_all(
    it: &Rc<Deployment>,
    balancer: &Balancer,
    count: usize,
    gap_ms: u64,
) -> Vec<Response> {
    let mut calls = Vec::new();
    for i in 0..count {
        let (it, balancer) = (it.clone(), balancer.clone());
        calls.push(spawn(async move {
            let body = json!({"team": "coop", "key": format!("k{i}"), "body": {"run_ms": 40}});
            it.send(balancer.pick(), "request", &body).await
        }));
        sleep(Duration::from_millis(gap_ms)).await;
    }
    let mut sent = Vec::new();
    for call in calls {
        sent.push(call.await.expect("no call panics"));
    }
    sent
}

fn check_all_done(sent: &[Response]) {
    let wrong: Vec<_> = sent.iter().filter(|s| s.outcome() != "done").collect();
    assert!(wrong.is_empty(), "{} of {} not done: {:?}", wrong.len(), sent.len(), wrong.first());
}

#[actix_web::test]
async fn rolling_restart_cuts_nothing() {
    let mut it = Deployment::start(2, 3).await;
    let balancer = Balancer::start(&it.entry_ports);
    let mut entries = std::mem::take(&mut it.entries);
    let mut agents = std::mem::take(&mut it.agents);
    let it = Rc::new(it);
    let load = spawn({
        let (it, balancer) = (it.clone(), balancer.clone());
        async move { send_all(&it, &balancer, 2000, BUSY_MS).await }
    });
    for (i, entry) in entries.iter_mut().enumerate() {
        entry.stop_gracefully().await;
        *entry = it.start_entry(i);
        it.wait_ready().await;
    }
    for (i, agent) in agents.iter_mut().enumerate() {
        agent.stop_gracefully().await;
        *agent = it.start_agent(i);
        it.wait_ready().await;
    }
    check_all_done(&load.await.expect("load ends"));
    assert!(it.starts().await.values().all(|n| *n == 1));
}

#[actix_web::test]
async fn stopping_entry_answers_what_it_took() {
    let mut it = Deployment::start(1, 2).await;
    let mut entry = it.entries.remove(0);
    let it = Rc::new(it);
    let call = spawn({
        let it = it.clone();
        let body = json!({"team": "coop", "key": "slow", "body": {"run_ms": 800}});
        async move { it.send(0, "request", &body).await }
    });
    sleep(Duration::from_millis(200)).await;
    assert!(entry.stop_gracefully().await.success());
    check_all_done(&[call.await.expect("call ends")]);
}

#[actix_web::test]
async fn leaving_backend_gets_no_new_work() {
    let mut it = Deployment::start(2, 3).await;
    let mut leaving = it.backends.remove(0);
    let frozen = it.entries.remove(1);
    let balancer = Balancer::start(&it.entry_ports[..1]);
    let it = Rc::new(it);
    frozen.signal(Signal::SIGSTOP);
    let slow = spawn({
        let it = it.clone();
        let tasks = vec![json!({"body": {"run_ms": 9000}}); 9];
        async move { it.send(0, "job", &json!({"team": "mill", "tasks": tasks})).await }
    });
    sleep(Duration::from_millis(300)).await;
    // the leaving server still runs its part of the job, so its log can be read
    leaving.signal(Signal::SIGTERM);
    let before = it.try_starts_at(0).await.expect("the log can be read").len();
    sleep(Duration::from_millis(LEAVE_MS)).await;
    frozen.signal(Signal::SIGCONT);
    let sent = send_all(&it, &balancer, 100, EASY_MS).await;
    let late = it.send(1, "request", &json!({"team": "coop", "body": {"run_ms": 1}})).await;
    check_all_done(&sent);
    check_all_done(&[late]);
    assert!(before > 0, "the leaving server ran nothing, so the run shows nothing");
    let after = it.try_starts_at(0).await.expect("the log can still be read").len();
    assert_eq!(after, before);
    check_all_done(&[slow.await.expect("job ends")]);
    assert!(leaving.stop_gracefully().await.success());
}
