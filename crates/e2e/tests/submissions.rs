//! Requests and jobs from a caller through entry, agent and backend server and
//! back, each in a process of its own.

use e2e::{Deployment, on_loopback};
use serde_json::json;

on_loopback! {
    request_is_done_and_started_once(it, 1, 1) {
        let body = json!({"team": "coop", "key": "k1", "body": {"run_ms": 5}});
        let res = it.send(0, "request", &body).await;
        assert_eq!((res.status, res.outcome()), (200, "done"));
        assert_eq!(res.body["answer"]["key"], "k1");
        assert_eq!(it.starts().await["coop/k1/0"], 1);
    }

    job_of_750_tasks_is_answered_whole_and_in_order(it, 2, 3) {
        let tasks: Vec<_> = (0..750).map(|_| json!({"body": {"run_ms": 5}})).collect();
        let body = json!({"team": "coop", "key": "j1", "tasks": tasks});
        let res = it.send(0, "job", &body).await;
        assert_eq!((res.status, res.outcome()), (200, "done"));
        let answers = res.body["answers"].as_array().expect("job has answers");
        let order: Vec<_> = answers.iter().filter_map(|a| a["index"].as_u64()).collect();
        assert_eq!(order, (0..750).collect::<Vec<_>>());
        let starts = it.starts().await;
        assert_eq!(starts.len(), 750);
        assert!(starts.values().all(|n| *n == 1));
    }

    failing_task_fails_the_job(it, 1, 1) {
        let tasks = [json!({"body": {"run_ms": 1}}), json!({"body": {"fail": true}})];
        let res = it.send(0, "job", &json!({"team": "coop", "tasks": tasks})).await;
        assert_eq!((res.status, res.outcome()), (502, "failed"));
        assert!(res.body.get("answers").is_none());
    }

    bad_input_is_refused_and_starts_nothing(it, 1, 1) {
        let task = json!({"body": {}});
        let cases = [
            ("request", json!({"team": "coop"}), 400, "malformed"),
            ("request", json!({"team": "nobody", "body": {}}), 403, "unknown-team"),
            ("request", json!({"team": "coop", "deadline_ms": 0, "body": {}}), 400, "deadline-passed"),
            ("request", json!({"team": "coop", "key": "cañal", "body": {}}), 400, "bad-field"),
            ("request", json!({"team": "coop", "operation": "a\nb", "body": {}}), 400, "bad-field"),
            ("request", json!({"team": "coop", "body": "x".repeat(2 << 20)}), 413, "too-large"),
            ("job", json!({"team": "coop", "tasks": vec![task; 751]}), 422, "task-count"),
        ];
        for (kind, body, status, code) in cases {
            let res = it.send(0, kind, &body).await;
            assert_eq!((res.status, res.body["error"]["code"].as_str()), (status, Some(code)));
        }
        assert!(it.starts().await.is_empty());
    }
}
