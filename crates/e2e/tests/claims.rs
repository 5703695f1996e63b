//! No task starts twice and `not-run` always means not started, also when callers
//! resubmit through another entry and agents are frozen, killed and restarted.

use std::{collections::BTreeMap, time::Duration};

use actix_web::rt::time::sleep;
use e2e::{Deployment, Response, on_loopback};
use futures::future::{join, join_all};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

fn request(key: &str, work: Value) -> Value {
    json!({"team": "coop", "key": key, "deadline_ms": 20_000, "body": work})
}

fn job(key: &str, run_ms: u64, count: usize) -> Value {
    let tasks = vec![json!({"body": {"run_ms": run_ms}}); count];
    json!({"team": "coop", "key": key, "deadline_ms": 30_000, "tasks": tasks})
}

async fn sleep_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// Waits for a task to start; index of the agent that runs it.
async fn wait_running_agent(it: &Deployment, key: &str) -> usize {
    for _ in 0..100 {
        for i in 0..it.agents.len() {
            if it.starts_at(i).await.iter().any(|start| start.key == key) {
                return i;
            }
        }
        sleep_ms(20).await;
    }
    panic!("{key} was never started");
}

async fn check_each_started_once(it: &Deployment, count: usize) {
    let starts = it.starts().await;
    assert_eq!(starts.len(), count);
    check_never_twice(&starts);
}

fn check_never_twice(starts: &BTreeMap<String, usize>) {
    let repeated: Vec<_> = starts.iter().filter(|(_, n)| **n > 1).collect();
    assert!(repeated.is_empty(), "started more than once: {repeated:?}");
}

fn check_done(res: &Response) {
    assert_eq!((res.status, res.outcome()), (200, "done"), "{:?}", res.body);
}

/// Checks that the outcomes reported for a key match its number of starts.
fn check_outcomes(key: &str, outcomes: &[&str], starts: usize) {
    assert!(starts <= 1, "{key} started {starts} times");
    if outcomes.iter().all(|o| *o == "not-run") {
        assert_eq!(starts, 0, "{key} started, all outcomes were not-run");
    }
    if outcomes.contains(&"done") {
        assert_eq!(starts, 1, "{key} is done but never started");
    }
}

on_loopback! {
    resubmission_while_running_and_done_gets_the_same_answer(it, 2, 3) {
        let body = request("r1", json!({"run_ms": 500}));
        let again = async {
            sleep_ms(150).await;
            it.send(1, "request", &body).await
        };
        let (first, second) = join(it.send(0, "request", &body), again).await;
        let third = it.send(1, "request", &body).await;
        for res in [&first, &second, &third] {
            check_done(res);
            assert_eq!(res.body["answer"], first.body["answer"]);
        }
        check_each_started_once(&it, 1).await;
    }

    resubmission_while_queued_gets_the_same_answer(it, 2, 3) {
        let job = job("full", 400, 72);
        let queued = request("q1", json!({"run_ms": 20}));
        let queue = async {
            sleep_ms(100).await;
            join(it.send(0, "request", &queued), it.send(1, "request", &queued)).await
        };
        let (full, (first, second)) = join(it.send(0, "job", &job), queue).await;
        for res in [&full, &first, &second] {
            check_done(res);
        }
        assert_eq!(first.body["answer"], second.body["answer"]);
        check_each_started_once(&it, 73).await;
    }

    job_resubmitted_through_the_other_entry_starts_nothing_twice(it, 2, 3) {
        let job = job("j1", 20, 750);
        let again = async {
            sleep_ms(100).await;
            it.send(1, "job", &job).await
        };
        let (first, second) = join(it.send(0, "job", &job), again).await;
        let third = it.send(1, "job", &job).await;
        for res in [&first, &second, &third] {
            check_done(res);
            assert_eq!(res.body["answers"], first.body["answers"]);
        }
        check_each_started_once(&it, 750).await;
    }

    key_with_another_body_is_a_conflict_and_starts_nothing(it, 2, 3) {
        check_done(&it.send(0, "request", &request("c1", json!({"run_ms": 1}))).await);
        check_done(&it.send(0, "job", &job("c2", 1, 5)).await);
        let cases = [
            ("request", request("c1", json!({"run_ms": 2}))),
            ("job", job("c1", 1, 4)),
            ("job", job("c2", 1, 6)),
            ("request", request("c2", json!({"run_ms": 1}))),
        ];
        for (kind, body) in cases {
            let res = it.send(1, kind, &body).await;
            let code = res.body["error"]["code"].as_str();
            assert_eq!((res.status, code), (409, Some("key-conflict")), "{body}");
        }
        check_each_started_once(&it, 6).await;
    }

    task_with_a_truncated_answer_stays_failed(it, 2, 3) {
        let body = request("cut", json!({"run_ms": 5, "cut": true}));
        for entry in [0, 1, 0] {
            let res = it.send(entry, "request", &body).await;
            assert_eq!((res.status, res.outcome()), (502, "failed"));
        }
        check_each_started_once(&it, 1).await;
    }

    keys_issued_too_long_ago_or_in_the_future_are_refused(it, 1, 2) {
        let now = base::now_ms();
        let cases = [(now - 3_600_000, 410, "key-expired"), (now + 60_000, 400, "bad-field")];
        for (issued, status, code) in cases {
            let mut body = request("old", json!({"run_ms": 1}));
            body["issued_ms"] = json!(issued);
            let res = it.send(0, "request", &body).await;
            assert_eq!((res.status, res.body["error"]["code"].as_str()), (status, Some(code)));
        }
        assert!(it.starts().await.is_empty());
    }

    task_of_a_killed_agent_is_unknown_and_not_restarted(it, 2, 3) {
        let body = request("k1", json!({"run_ms": 1500}));
        let kill = async {
            let at = wait_running_agent(&it, "k1").await;
            it.agents[at].signal(Signal::SIGKILL);
            at
        };
        let (first, at) = join(it.send(0, "request", &body), kill).await;
        assert_eq!((first.status, first.outcome()), (504, "unknown"), "{:?}", first.body);
        let again = it.send(1, "request", &body).await;
        assert_eq!(again.outcome(), "unknown", "{:?}", again.body);
        it.agents[at].kill();
        it.agents[at] = it.start_agent(at);
        it.wait_ready().await;
        let again = it.send(1, "request", &body).await;
        assert_eq!(again.outcome(), "unknown", "{:?}", again.body);
        check_each_started_once(&it, 1).await;
    }

    agent_frozen_with_offers_and_resumed_starts_nothing_twice(it, 2, 4) {
        it.agents[0].signal(Signal::SIGSTOP);
        let keys: Vec<_> = (0..40).map(|i| format!("f{i}")).collect();
        let sends = keys.iter().enumerate().map(|(i, key)| {
            let body = request(key, json!({"run_ms": 20}));
            let it = &it;
            async move { it.send(i % 2, "request", &body).await }
        });
        let resume = async {
            sleep_ms(4000).await;
            it.agents[0].signal(Signal::SIGCONT);
        };
        let (responses, ()) = join(join_all(sends), resume).await;
        sleep_ms(500).await;
        let starts = it.starts().await;
        for (key, res) in keys.iter().zip(&responses) {
            let started = starts.get(&format!("coop/{key}/0")).copied().unwrap_or(0);
            check_outcomes(key, &[res.outcome()], started);
        }
        check_never_twice(&starts);
        let done = responses.iter().filter(|r| r.outcome() == "done").count();
        assert!(done >= 30, "only {done} of 40 were done");
    }

    frozen_agent_gives_its_answer_when_resumed(it, 2, 3) {
        let body = request("w1", json!({"run_ms": 300}));
        let freeze = async {
            let at = wait_running_agent(&it, "w1").await;
            it.agents[at].signal(Signal::SIGSTOP);
            sleep_ms(3000).await;
            it.agents[at].signal(Signal::SIGCONT);
        };
        let (first, ()) = join(it.send(0, "request", &body), freeze).await;
        check_done(&first);
        check_done(&it.send(1, "request", &body).await);
        check_each_started_once(&it, 1).await;
    }

    resubmission_during_overload_waits_for_the_running_first_copy(it, 2, 3) {
        let body = request("shed", json!({"run_ms": 1500}));
        let again = async {
            wait_running_agent(&it, "shed").await;
            for i in 0..it.agents.len() {
                it.run_ctl(&["drain", &format!("agent-{i}")]);
            }
            sleep_ms(300).await;
            let fresh = it.send(1, "request", &request("fresh", json!({"run_ms": 1}))).await;
            (it.send(1, "request", &body).await, fresh)
        };
        let (first, (second, fresh)) = join(it.send(0, "request", &body), again).await;
        check_done(&first);
        check_done(&second);
        assert_eq!((fresh.status, fresh.outcome()), (503, "not-run"), "{:?}", fresh.body);
        assert!(fresh.body["retry_after_ms"].as_u64() >= Some(2000), "{:?}", fresh.body);
        check_each_started_once(&it, 1).await;
    }

    refusal_racing_a_claim_matches_the_starts(it, 2, 3) {
        // more than can end before the deadline, each through both entries
        let keys: Vec<_> = (0..120).map(|i| format!("s{i}")).collect();
        let sends = keys.iter().flat_map(|key| [(key, 0), (key, 1)]).map(|(key, entry)| {
            let body = json!({"team": "coop", "key": key, "deadline_ms": 400,
                "body": {"run_ms": 150}});
            let it = &it;
            async move { it.send(entry, "request", &body).await }
        });
        let responses = join_all(sends).await;
        sleep_ms(500).await;
        let starts = it.starts().await;
        for (key, res) in keys.iter().zip(responses.chunks(2)) {
            let started = starts.get(&format!("coop/{key}/0")).copied().unwrap_or(0);
            check_outcomes(key, &[res[0].outcome(), res[1].outcome()], started);
        }
        assert!(responses.iter().any(|r| r.outcome() == "not-run"), "nothing was refused");
        assert!(responses.iter().any(|r| r.outcome() == "done"), "nothing was done");
    }

    status_and_cancel_report_the_state_of_a_key(it, 2, 3) {
        let state = async |entry, key| it.status(entry, key).await.body["state"].clone();
        assert_eq!(state(0, "x1").await, "unseen");
        let body = request("x1", json!({"run_ms": 600}));
        let watch = async {
            wait_running_agent(&it, "x1").await;
            assert_eq!(state(1, "x1").await, "running");
            let cancel = it.send(1, "cancel", &json!({"team": "coop", "key": "x1"})).await;
            assert_eq!(cancel.body["state"], "running", "{:?}", cancel.body);
        };
        let (res, ()) = join(it.send(0, "request", &body), watch).await;
        check_done(&res);
        assert_eq!(state(1, "x1").await, "done");
        let cancel = it.send(0, "cancel", &json!({"team": "coop", "key": "new"})).await;
        assert_eq!(cancel.body["state"], "not-run", "{:?}", cancel.body);
        assert_eq!(state(1, "new").await, "not-run");
        check_done(&it.send(0, "job", &job("j2", 1, 20)).await);
        let status = it.status(1, "j2").await;
        assert_eq!((&status.body["state"], &status.body["counts"]["done"]), (&json!("done"), &json!(20)));
    }

    cancel_racing_a_start_matches_the_starts(it, 2, 3) {
        let keys: Vec<_> = (0..60).map(|i| format!("x{i}")).collect();
        let runs = keys.iter().enumerate().map(|(i, key)| {
            let body = request(key, json!({"run_ms": 60}));
            let target = json!({"team": "coop", "key": key});
            let it = &it;
            async move {
                let cancel = async {
                    sleep_ms(i as u64 % 8 * 20).await;
                    it.send(1, "cancel", &target).await
                };
                join(it.send(0, "request", &body), cancel).await
            }
        });
        let responses = join_all(runs).await;
        let starts = it.starts().await;
        let mut cancelled = 0;
        for (key, (res, cancel)) in keys.iter().zip(&responses) {
            let started = starts.get(&format!("coop/{key}/0")).copied().unwrap_or(0);
            check_outcomes(key, &[res.outcome()], started);
            if cancel.body["state"] == "not-run" {
                cancelled += 1;
                assert_eq!(started, 0, "{key} was cancelled and started");
            }
        }
        assert!(cancelled > 0, "nothing was cancelled in time");
    }

    queue_of_a_stopping_backend_server_moves_to_others(it, 2, 3) {
        let job = job("m1", 100, 150);
        let stop = async {
            sleep_ms(150).await;
            it.backends[0].signal(Signal::SIGTERM);
        };
        let (res, ()) = join(it.send(0, "job", &job), stop).await;
        check_done(&res);
    }
}
