//! Requests and jobs are served while the platform is down or slow.

use e2e::Deployment;
use serde_json::json;

#[actix_web::test]
async fn requests_are_served_while_the_platform_is_down() {
    let it = Deployment::start(2, 3).await;
    it.set_faults(&json!({"down": true})).await;
    for i in 0..200 {
        let body = json!({"team": "coop", "key": format!("down-{i}"), "body": {"run_ms": 5}});
        let res = it.send(i % 2, "request", &body).await;
        assert_eq!(res.outcome(), "done", "{:?}", res.body);
    }
    let tasks = vec![json!({"body": {"run_ms": 5}}); 300];
    let res = it.send(0, "job", &json!({"team": "mill", "tasks": tasks})).await;
    assert_eq!(res.outcome(), "done", "{:?}", res.body);
    assert!(it.starts().await.values().all(|n| *n == 1));
}

#[actix_web::test]
async fn slow_platform_delays_no_request() {
    let it = Deployment::start(1, 2).await;
    it.set_faults(&json!({"slow_ms": 5000})).await;
    for i in 0..50 {
        let body = json!({
            "team": "coop", "key": format!("slow-{i}"), "deadline_ms": 2000, "body": {"run_ms": 5},
        });
        let res = it.send(0, "request", &body).await;
        assert_eq!(res.outcome(), "done", "{:?}", res.body);
    }
}
