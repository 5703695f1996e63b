//! Status and cancellation never take what a process doesn't know for "has not
//! run".

use std::time::Duration;

use actix_web::rt::time::sleep;
use e2e::{Deployment, Response, free_port};
use futures::future::join;
use serde_json::json;

macro_rules! on_settled_roster {
    ($($name:ident($deployment:ident, $entries:literal, $agents:literal) $body:block)*) => {
        $(#[actix_web::test]
        async fn $name() {
            let mut $deployment = Deployment::start($entries, $agents).await;
            let all: Vec<_> = (0..$agents).collect();
            $deployment.wait_settled(&all, 0).await;
            $body
        })*
    };
}

async fn cancel(it: &Deployment, key: &str) -> Response {
    it.send(0, "cancel", &json!({"team": "coop", "key": key})).await
}

/// Waits for a task to start; index of the agent that runs it.
async fn wait_running_agent(it: &Deployment, key: &str) -> usize {
    for _ in 0..200 {
        for i in 0..it.agents.len() {
            if it.starts_at(i).await.iter().any(|start| start.key == key) {
                return i;
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("{key} was never started");
}

/// Starts an agent again that sends no heartbeats to the entries.
fn restart_unheard(it: &mut Deployment, at: usize) {
    let entries = std::mem::replace(&mut it.entry_rpc_ports, vec![free_port()]);
    it.agents[at].kill();
    it.agents[at] = it.start_agent(at);
    it.entry_rpc_ports = entries;
}

on_settled_roster! {
    an_agent_restarted_without_memory_does_not_make_a_status_unseen(it, 1, 3) {
        let body = json!({"team": "coop", "key": "k", "deadline_ms": 20_000, "body": {"run_ms": 1}});
        let (res, at) = join(it.send(0, "request", &body), wait_running_agent(&it, "k")).await;
        assert_eq!(res.outcome(), "done", "{:?}", res.body);
        let epoch = it.roster().await.epoch;
        restart_unheard(&mut it, at);
        it.wait_settled(&[0, 1, 2], epoch).await;
        let status = it.status(0, "k").await;
        assert_eq!(status.body["state"], "unknown", "{:?}", status.body);
        let cancelled = cancel(&it, "k").await;
        assert_eq!(cancelled.body["state"], "unknown", "{:?}", cancelled.body);
    }
}
