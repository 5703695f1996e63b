//! Each caller receives the whole answer to its own request.

use std::rc::Rc;

use actix_web::rt::spawn;
use e2e::{Deployment, Response};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

const SEED: u64 = 11;
const REQUESTS: usize = 600;

/// What one request asks for, and so what its answer must be.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Whole { bytes: usize },
    Cut,
    CutChunks,
    Failing,
    Late,
}

impl Kind {
    fn random(rng: &mut StdRng) -> Self {
        match rng.random_range(0..10) {
            0 => Kind::Cut,
            1 => Kind::CutChunks,
            2 => Kind::Failing,
            3 => Kind::Late,
            _ => Kind::Whole { bytes: rng.random_range(0..200_000) },
        }
    }

    fn body(self) -> Value {
        match self {
            Kind::Whole { bytes } => json!({"run_ms": 5, "answer_bytes": bytes}),
            Kind::Cut => json!({"run_ms": 5, "cut": true}),
            Kind::CutChunks => json!({"run_ms": 5, "cut_chunks": true}),
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

fn check_own_answer(kind: Kind, key: &str, sent: &Response) {
    assert_eq!(sent.body["key"], key, "{kind:?}");
    match kind {
        Kind::Whole { bytes } => {
            assert_eq!(sent.outcome(), "done", "{kind:?} {}", sent.body["reason"]);
            assert_eq!(sent.body["answer"]["key"], key);
            assert_eq!(sent.body["answer"]["padding"].as_str().unwrap_or("").len(), bytes);
        }
        Kind::Cut | Kind::CutChunks | Kind::Failing => {
            assert_eq!(sent.outcome(), "failed", "{kind:?}")
        }
        Kind::Late => assert!(matches!(sent.outcome(), "unknown" | "not-run"), "{kind:?}"),
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
            let sent = it.send(i % 2, "request", &body).await;
            check_own_answer(kind, &key, &sent);
        }));
    }
    for call in calls {
        call.await.expect("the answer is its own");
    }
    assert!(it.starts().await.values().all(|n| *n == 1));
}
