//! What agents keep of a start stays within what an agent may use.

use e2e::Deployment;
use serde_json::json;

/// Memory of an agent, bytes.
const ALLOWED: u64 = 64 << 20;
/// Starts of an agent within the retention: 30 a second for 900 s.
const KEPT: u64 = 27_000;
const JOBS: u64 = 8;
const TASKS: u64 = 750;

#[actix_web::test]
async fn kept_answers_are_no_larger_than_they_need() {
    let it = Deployment::start(1, 2).await;
    let memory = || it.agents.iter().map(|a| a.memory_bytes()).sum::<u64>();
    let before = memory();
    for job in 0..JOBS {
        let tasks: Vec<_> = (0..TASKS).map(|_| json!({"body": {"run_ms": 1}})).collect();
        let body = json!({"team": "coop", "key": format!("j{job}"), "tasks": tasks});
        assert_eq!(it.send(0, "job", &body).await.outcome(), "done");
    }
    let each = (memory() - before) / (JOBS * TASKS);
    assert!(each <= ALLOWED / KEPT, "{each} bytes a start");
}
