//! Sends many non-repeatable requests through both entries while agents are
//! killed, restarted and frozen at random, and checks the outcomes that callers
//! get against the starts. `EGRET_RUNS=n` sends n requests, `EGRET_SEED=n` changes
//! the schedule, `EGRET_CALM_MS=n` adds n ms between two faults.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    env,
    rc::Rc,
    time::Duration,
};

use actix_web::rt::{
    spawn,
    time::{Instant, sleep},
};
use e2e::{Deployment, send};
use futures::future::join_all;
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;

const REQUESTS: u64 = 200;
const SEED: u64 = 7;
const CALLERS: u64 = 24;
const AGENTS: usize = 4;
/// Attempts with one key before its caller gives up.
const MAX_ATTEMPTS: usize = 4;

/// Outcomes of the calls of one key, in the order of the calls.
#[derive(Debug, Default)]
struct KeyOutcomes {
    list: Vec<String>,
}

struct Soak {
    deployment: RefCell<Deployment>,
    seed: u64,
    next: Cell<u64>,
    requests: u64,
    calm_ms: u64,
    outcomes: RefCell<BTreeMap<String, KeyOutcomes>>,
    active_callers: Cell<u64>,
}

fn setting(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

impl Soak {
    /// Sends requests one after the other until none is left.
    async fn run_caller(self: Rc<Self>, caller: u64) {
        let mut rng = StdRng::seed_from_u64(self.seed ^ (caller << 32));
        while self.next.get() < self.requests {
            let number = self.next.replace(self.next.get() + 1);
            self.complete(&format!("k{number}"), &mut rng).await;
        }
        self.active_callers.update(|n| n - 1);
    }

    /// Sends a request until it is done or failed, sometimes once more after that.
    async fn complete(&self, key: &str, rng: &mut StdRng) {
        let work = json!({"run_ms": rng.random_range(0..40), "fail": rng.random_bool(0.02)});
        let mut body = json!({"team": "coop", "key": key, "deadline_ms": 4000, "body": work});
        // most callers send the time at which they issued the key
        if rng.random_bool(0.75) {
            body["issued_ms"] = json!(base::now_ms());
        }
        for _ in 0..MAX_ATTEMPTS {
            let twice = rng.random_bool(0.2);
            let entry = rng.random_range(0..2);
            let mut sends = vec![self.send(entry, &body)];
            if twice {
                sends.push(self.send(1 - entry, &body));
            }
            let outcomes = join_all(sends).await;
            let is_over = outcomes.iter().any(|o| o == "done" || o == "failed");
            self.outcomes.borrow_mut().entry(key.to_owned()).or_default().list.extend(outcomes);
            if is_over && rng.random_bool(0.9) {
                return;
            }
            sleep(Duration::from_millis(rng.random_range(0..1500))).await;
        }
    }

    async fn send(&self, entry: usize, body: &serde_json::Value) -> String {
        let port = self.deployment.borrow().entry_ports[entry];
        send(port, "request", body).await.outcome().to_owned()
    }

    /// Kills, restarts and freezes one agent at a time.
    async fn inject_faults(self: Rc<Self>) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        while self.active_callers.get() > 0 {
            let pause = rng.random_range(300..1500) + self.calm_ms;
            sleep(Duration::from_millis(pause)).await;
            let at = rng.random_range(0..AGENTS);
            if rng.random_bool(0.5) {
                self.deployment.borrow_mut().agents[at].kill();
                sleep(Duration::from_millis(rng.random_range(0..1000))).await;
                let agent = self.deployment.borrow().start_agent(at);
                self.deployment.borrow_mut().agents[at] = agent;
            } else {
                self.deployment.borrow().agents[at].signal(Signal::SIGSTOP);
                sleep(Duration::from_millis(rng.random_range(100..3500))).await;
                self.deployment.borrow().agents[at].signal(Signal::SIGCONT);
            }
        }
    }
}

/// Checks the outcomes against the starts, and counts the outcomes.
fn check(
    seed: u64,
    outcomes: &BTreeMap<String, KeyOutcomes>,
    starts: &BTreeMap<String, usize>,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (key, outcomes) in outcomes {
        let started = starts.get(&format!("coop/{key}/0")).copied().unwrap_or(0);
        let has = |outcome: &str| outcomes.list.iter().any(|o| o == outcome);
        assert!(started <= 1, "EGRET_SEED={seed}: {key} started {started} times, {outcomes:?}");
        if has("done") || has("failed") {
            assert_eq!(started, 1, "EGRET_SEED={seed}: {key} never started, {outcomes:?}");
        }
        if outcomes.list.iter().all(|o| o == "not-run") {
            assert_eq!(started, 0, "EGRET_SEED={seed}: {key} started, {outcomes:?}");
        }
        for outcome in &outcomes.list {
            *counts.entry(outcome.clone()).or_default() += 1;
        }
    }
    counts
}

#[actix_web::test]
async fn requests_under_kills_and_freezes_start_at_most_once() {
    let deployment = Deployment::start(2, AGENTS).await;
    let soak = Rc::new(Soak {
        deployment: RefCell::new(deployment),
        seed: setting("EGRET_SEED", SEED),
        next: Cell::new(0),
        requests: setting("EGRET_RUNS", REQUESTS),
        calm_ms: setting("EGRET_CALM_MS", 0),
        outcomes: RefCell::default(),
        active_callers: Cell::new(CALLERS),
    });
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS).map(|c| spawn(soak.clone().run_caller(c))).collect();
    let faults = spawn(soak.clone().inject_faults());
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    faults.await.expect("fault injection ends");
    sleep(Duration::from_millis(500)).await;
    let Soak { deployment, seed, outcomes, .. } = Rc::into_inner(soak).expect("all calls ended");
    let starts = deployment.into_inner().starts().await;
    let counts = check(seed, &outcomes.into_inner(), &starts);
    println!("seed {seed}, {} starts in {:?}: {counts:?}", starts.len(), start.elapsed());
}
