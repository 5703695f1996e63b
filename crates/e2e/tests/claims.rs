//! No task of a submission starts twice, and `not-run` is true: resubmitted
//! through another entry, with executors frozen, killed and restarted.

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

/// Place of the agent that started a task.
async fn wait_executor(it: &Deployment, key: &str) -> usize {
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

async fn check_once(it: &Deployment, count: usize) {
    let starts = it.starts().await;
    assert_eq!(starts.len(), count);
    check_never_twice(&starts);
}

fn check_never_twice(starts: &BTreeMap<String, usize>) {
    let twice: Vec<_> = starts.iter().filter(|(_, n)| **n > 1).collect();
    assert!(twice.is_empty(), "started more than once: {twice:?}");
}

fn check_done(sent: &Response) {
    assert_eq!((sent.status, sent.outcome()), (200, "done"), "{:?}", sent.body);
}

/// What callers were told of a key is true of how often it was started.
fn check_honest(key: &str, told: &[&str], starts: usize) {
    assert!(starts <= 1, "{key} started {starts} times");
    if told.iter().all(|t| *t == "not-run") {
        assert_eq!(starts, 0, "{key} started, all were told not-run");
    }
    if told.contains(&"done") {
        assert_eq!(starts, 1, "{key} is done and never started");
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
        for sent in [&first, &second, &third] {
            check_done(sent);
            assert_eq!(sent.body["answer"], first.body["answer"]);
        }
        check_once(&it, 1).await;
    }

    resubmission_while_queued_gets_the_same_answer(it, 2, 3) {
        let work = job("full", 400, 72);
        let late = request("q1", json!({"run_ms": 20}));
        let queued = async {
            sleep_ms(100).await;
            join(it.send(0, "request", &late), it.send(1, "request", &late)).await
        };
        let (full, (first, second)) = join(it.send(0, "job", &work), queued).await;
        for sent in [&full, &first, &second] {
            check_done(sent);
        }
        assert_eq!(first.body["answer"], second.body["answer"]);
        check_once(&it, 73).await;
    }

    job_resubmitted_through_the_other_entry_starts_nothing_twice(it, 2, 3) {
        let work = job("j1", 20, 750);
        let again = async {
            sleep_ms(100).await;
            it.send(1, "job", &work).await
        };
        let (first, second) = join(it.send(0, "job", &work), again).await;
        let third = it.send(1, "job", &work).await;
        for sent in [&first, &second, &third] {
            check_done(sent);
            assert_eq!(sent.body["answers"], first.body["answers"]);
        }
        check_once(&it, 750).await;
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
            let sent = it.send(1, kind, &body).await;
            let code = sent.body["error"]["code"].as_str();
            assert_eq!((sent.status, code), (409, Some("key-conflict")), "{body}");
        }
        check_once(&it, 6).await;
    }

    answer_cut_short_stays_failed(it, 2, 3) {
        let body = request("cut", json!({"run_ms": 5, "cut": true}));
        for entry in [0, 1, 0] {
            let sent = it.send(entry, "request", &body).await;
            assert_eq!((sent.status, sent.outcome()), (502, "failed"));
        }
        check_once(&it, 1).await;
    }

    keys_too_old_or_from_the_future_are_refused(it, 1, 2) {
        let now = base::now_ms();
        let cases = [(now - 3_600_000, 410, "key-expired"), (now + 60_000, 400, "bad-field")];
        for (issued, status, code) in cases {
            let mut body = request("old", json!({"run_ms": 1}));
            body["issued_ms"] = json!(issued);
            let sent = it.send(0, "request", &body).await;
            assert_eq!((sent.status, sent.body["error"]["code"].as_str()), (status, Some(code)));
        }
        assert!(it.starts().await.is_empty());
    }

    killed_executor_leaves_unknown_and_no_second_start(it, 2, 3) {
        let body = request("k1", json!({"run_ms": 1500}));
        let killed = async {
            let at = wait_executor(&it, "k1").await;
            it.agents[at].signal(Signal::SIGKILL);
            at
        };
        let (first, at) = join(it.send(0, "request", &body), killed).await;
        assert_eq!((first.status, first.outcome()), (504, "unknown"), "{:?}", first.body);
        let again = it.send(1, "request", &body).await;
        assert_eq!(again.outcome(), "unknown", "{:?}", again.body);
        it.agents[at].kill();
        it.agents[at] = it.start_agent(at);
        it.wait_ready().await;
        let again = it.send(1, "request", &body).await;
        assert_eq!(again.outcome(), "unknown", "{:?}", again.body);
        check_once(&it, 1).await;
    }

    executor_frozen_with_offers_and_woken_starts_nothing_twice(it, 2, 4) {
        it.agents[0].signal(Signal::SIGSTOP);
        let keys: Vec<_> = (0..40).map(|i| format!("f{i}")).collect();
        let sends = keys.iter().enumerate().map(|(i, key)| {
            let body = request(key, json!({"run_ms": 20}));
            let it = &it;
            async move { it.send(i % 2, "request", &body).await }
        });
        let wake = async {
            sleep_ms(4000).await;
            it.agents[0].signal(Signal::SIGCONT);
        };
        let (sent, ()) = join(join_all(sends), wake).await;
        sleep_ms(500).await;
        let starts = it.starts().await;
        for (key, sent) in keys.iter().zip(&sent) {
            let started = starts.get(&format!("coop/{key}/0")).copied().unwrap_or(0);
            check_honest(key, &[sent.outcome()], started);
        }
        check_never_twice(&starts);
        let done = sent.iter().filter(|s| s.outcome() == "done").count();
        assert!(done >= 30, "only {done} of 40 were done");
    }

    frozen_executor_gives_its_answer_when_woken(it, 2, 3) {
        let body = request("w1", json!({"run_ms": 300}));
        let freeze = async {
            let at = wait_executor(&it, "w1").await;
            it.agents[at].signal(Signal::SIGSTOP);
            sleep_ms(3000).await;
            it.agents[at].signal(Signal::SIGCONT);
        };
        let (first, ()) = join(it.send(0, "request", &body), freeze).await;
        check_done(&first);
        check_done(&it.send(1, "request", &body).await);
        check_once(&it, 1).await;
    }

    resubmission_shed_while_the_first_copy_runs_waits_for_it(it, 2, 3) {
        let body = request("shed", json!({"run_ms": 1500}));
        let again = async {
            wait_executor(&it, "shed").await;
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
        check_once(&it, 1).await;
    }

    refusal_racing_a_claim_is_true(it, 2, 3) {
        // far more than can end in time, each through both entries
        let keys: Vec<_> = (0..120).map(|i| format!("s{i}")).collect();
        let sends = keys.iter().flat_map(|key| [(key, 0), (key, 1)]).map(|(key, entry)| {
            let body = json!({"team": "coop", "key": key, "deadline_ms": 400,
                "body": {"run_ms": 150}});
            let it = &it;
            async move { it.send(entry, "request", &body).await }
        });
        let sent = join_all(sends).await;
        sleep_ms(500).await;
        let starts = it.starts().await;
        for (key, sent) in keys.iter().zip(sent.chunks(2)) {
            let started = starts.get(&format!("coop/{key}/0")).copied().unwrap_or(0);
            check_honest(key, &[sent[0].outcome(), sent[1].outcome()], started);
        }
        assert!(sent.iter().any(|s| s.outcome() == "not-run"), "nothing was refused");
        assert!(sent.iter().any(|s| s.outcome() == "done"), "nothing was done");
    }

    status_and_cancel_tell_how_far_a_key_is(it, 2, 3) {
        let state = async |entry, key| it.status(entry, key).await.body["state"].clone();
        assert_eq!(state(0, "x1").await, "unseen");
        let body = request("x1", json!({"run_ms": 600}));
        let watch = async {
            wait_executor(&it, "x1").await;
            assert_eq!(state(1, "x1").await, "running");
            let cancel = it.send(1, "cancel", &json!({"team": "coop", "key": "x1"})).await;
            assert_eq!(cancel.body["state"], "running", "{:?}", cancel.body);
        };
        let (sent, ()) = join(it.send(0, "request", &body), watch).await;
        check_done(&sent);
        assert_eq!(state(1, "x1").await, "done");
        let cancel = it.send(0, "cancel", &json!({"team": "coop", "key": "new"})).await;
        assert_eq!(cancel.body["state"], "not-run", "{:?}", cancel.body);
        assert_eq!(state(1, "new").await, "not-run");
        check_done(&it.send(0, "job", &job("j2", 1, 20)).await);
        let status = it.status(1, "j2").await;
        assert_eq!((&status.body["state"], &status.body["counts"]["done"]), (&json!("done"), &json!(20)));
    }

    cancel_racing_a_start_is_true(it, 2, 3) {
        let keys: Vec<_> = (0..60).map(|i| format!("x{i}")).collect();
        let runs = keys.iter().enumerate().map(|(i, key)| {
            let body = request(key, json!({"run_ms": 60}));
            let named = json!({"team": "coop", "key": key});
            let it = &it;
            async move {
                let cancel = async {
                    sleep_ms(i as u64 % 8 * 20).await;
                    it.send(1, "cancel", &named).await
                };
                join(it.send(0, "request", &body), cancel).await
            }
        });
        let told = join_all(runs).await;
        let starts = it.starts().await;
        let mut cancelled = 0;
        for (key, (sent, cancel)) in keys.iter().zip(&told) {
            let started = starts.get(&format!("coop/{key}/0")).copied().unwrap_or(0);
            check_honest(key, &[sent.outcome()], started);
            if cancel.body["state"] == "not-run" {
                cancelled += 1;
                assert_eq!(started, 0, "{key} was cancelled and started");
            }
        }
        assert!(cancelled > 0, "nothing was cancelled in time");
    }

    leaving_backend_server_moves_its_queue_elsewhere(it, 2, 3) {
        let work = job("m1", 100, 150);
        let leave = async {
            sleep_ms(150).await;
            it.backends[0].signal(Signal::SIGTERM);
        };
        let (sent, ()) = join(it.send(0, "job", &work), leave).await;
        check_done(&sent);
    }
}
