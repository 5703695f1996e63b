//! Each caller receives the whole answer to its own request, also when other
//! answers are large, truncated, failed or late.

use std::rc::Rc;

use actix_web::rt::spawn;
use e2e::{Deployment, Response};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

const SEED: u64 = 11;
const REQUESTS: usize = 600;

/// What a request makes the backend server do, and so its expected answer.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Whole { bytes: usize },
    Truncated,
    TruncatedChunks,
    Failing,
    Late,
}

impl Kind {
    fn random(rng: &mut StdRng) -> Self {
        match rng.random_range(0..10) {
            0 => Kind::Truncated,
            1 => Kind::TruncatedChunks,
            2 => Kind::Failing,
            3 => Kind::Late,
            _ => Kind::Whole { bytes: rng.random_range(0..200_000) },
        }
    }

    fn body(self) -> Value {
        match self {
            Kind::Whole { bytes } => json!({"run_ms": 5, "answer_bytes": bytes}),
            Kind::Truncated => json!({"run_ms": 5, "cut": true}),
            Kind::TruncatedChunks => json!({"run_ms": 5, "cut_chunks": true}),
            Kind::Failing => json!({"run_ms": 5, "fail": true}),
            Kind::Late => json!({"run_ms": 700}),
        }
    }

    fn deadline_ms(self) -> u64 {
        match self {
            Kind::Late => 500,
            _ => 30_000,
        }
    }
}

fn check_own_answer(kind: Kind, key: &str, res: &Response) {
    assert_eq!(res.body["key"], key, "{kind:?}");
    match kind {
        Kind::Whole { bytes } => {
            assert_eq!(res.outcome(), "done", "{kind:?} {}", res.body["reason"]);
            assert_eq!(res.body["answer"]["key"], key);
            assert_eq!(res.body["answer"]["padding"].as_str().unwrap_or("").len(), bytes);
        }
        Kind::Truncated | Kind::TruncatedChunks | Kind::Failing => {
            assert_eq!(res.outcome(), "failed", "{kind:?}")
        }
        Kind::Late => assert!(matches!(res.outcome(), "unknown" | "not-run"), "{kind:?}"),
    }
}

#[actix_web::test]
async fn each_caller_gets_its_own_whole_answer() {
    let it = Rc::new(Deployment::start(2, 3).await);
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut calls = Vec::new();
    for i in 0..REQUESTS {
        let (it, kind) = (it.clone(), Kind::random(&mut rng));
        calls.push(spawn(async move {
            let key = format!("own-{i}");
            let body = json!({
                "team": "coop", "key": key, "deadline_ms": kind.deadline_ms(), "body": kind.body(),
            });
            let res = it.send(i % 2, "request", &body).await;
            check_own_answer(kind, &key, &res);
        }));
    }
    for call in calls {
        call.await.expect("each answer belongs to its request");
    }
    assert!(it.starts().await.values().all(|n| *n == 1));
}
