//! The records of task starts fit into the memory that an agent may use.

use e2e::Deployment;
use serde_json::json;

/// Memory that an agent may use.
const ALLOWED_BYTES: u64 = 64 << 20;
/// Starts on an agent within the retention: 30 per second for 900 s.
const RETAINED_STARTS: u64 = 27_000;
const JOBS: u64 = 8;
const TASKS_PER_JOB: u64 = 750;

#[actix_web::test]
async fn record_of_a_start_stays_within_its_share_of_memory() {
    let it = Deployment::start(1, 2).await;
    let used_bytes = || it.agents.iter().map(|a| a.memory_bytes()).sum::<u64>();
    let before = used_bytes();
    for job in 0..JOBS {
        let tasks: Vec<_> = (0..TASKS_PER_JOB).map(|_| json!({"body": {"run_ms": 1}})).collect();
        let body = json!({"team": "coop", "key": format!("j{job}"), "tasks": tasks});
        assert_eq!(it.send(0, "job", &body).await.outcome(), "done");
    }
    let bytes_per_start = (used_bytes() - before) / (JOBS * TASKS_PER_JOB);
    assert!(bytes_per_start <= ALLOWED_BYTES / RETAINED_STARTS, "{bytes_per_start} bytes");
}
