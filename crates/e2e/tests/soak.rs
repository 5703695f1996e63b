//! Many requests that are not repeatable, through both entries, while agents
//! are killed, restarted and frozen at random. What callers are told is held
//! against the starts. `EGRET_RUNS=n` sends n requests, `EGRET_SEED=n` changes
//! the schedule, `EGRET_CALM_MS=n` leaves that much more time between two faults.

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
/// Calls of one key before its caller gives up.
const MAX_CALLS: usize = 4;

/// What the callers of one key were told, in the order of the calls.
#[derive(Debug, Default)]
struct Told {
    words: Vec<String>,
}

struct Soak {
    it: RefCell<Deployment>,
    seed: u64,
    next: Cell<u64>,
    requests: u64,
    calm_ms: u64,
    told: RefCell<BTreeMap<String, Told>>,
    calling: Cell<u64>,
}

fn setting(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

impl Soak {
    /// Sends keys one after the other until none is left.
    async fn call(self: Rc<Self>, caller: u64) {
        let mut rng = StdRng::seed_from_u64(self.seed ^ (caller << 32));
        while self.next.get() < self.requests {
            let number = self.next.replace(self.next.get() + 1);
            self.follow(&format!("k{number}"), &mut rng).await;
        }
        self.calling.update(|n| n - 1);
    }

    /// Sends one key, and again while its answer leaves that open.
    async fn follow(&self, key: &str, rng: &mut StdRng) {
        let work = json!({"run_ms": rng.random_range(0..40), "fail": rng.random_bool(0.02)});
        let mut body = json!({"team": "coop", "key": key, "deadline_ms": 4000, "body": work});
        // most callers tell when they issued their key
        if rng.random_bool(0.75) {
            body["issued_ms"] = json!(base::now_ms());
        }
        for _ in 0..MAX_CALLS {
            let twice = rng.random_bool(0.2);
            let entry = rng.random_range(0..2);
            let mut sends = vec![self.send(entry, &body)];
            if twice {
                sends.push(self.send(1 - entry, &body));
            }
            let words = join_all(sends).await;
            let over = words.iter().any(|w| w == "done" || w == "failed");
            self.told.borrow_mut().entry(key.to_owned()).or_default().words.extend(words);
            if over && rng.random_bool(0.9) {
                return;
            }
            sleep(Duration::from_millis(rng.random_range(0..1500))).await;
        }
    }

    async fn send(&self, entry: usize, body: &serde_json::Value) -> String {
        let port = self.it.borrow().entry_ports[entry];
        send(port, "request", body).await.outcome().to_owned()
    }

    /// Kills, restarts and freezes one agent at a time.
    async fn disturb(self: Rc<Self>) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        while self.calling.get() > 0 {
            let pause = rng.random_range(300..1500) + self.calm_ms;
            sleep(Duration::from_millis(pause)).await;
            let at = rng.random_range(0..AGENTS);
            if rng.random_bool(0.5) {
                self.it.borrow_mut().agents[at].kill();
                sleep(Duration::from_millis(rng.random_range(0..1000))).await;
                let agent = self.it.borrow().start_agent(at);
                self.it.borrow_mut().agents[at] = agent;
            } else {
                self.it.borrow().agents[at].signal(Signal::SIGSTOP);
                sleep(Duration::from_millis(rng.random_range(100..3500))).await;
                self.it.borrow().agents[at].signal(Signal::SIGCONT);
            }
        }
    }
}

/// Holds what was told against the starts, and counts the words.
fn check(
    seed: u64,
    told: &BTreeMap<String, Told>,
    starts: &BTreeMap<String, usize>,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (key, told) in told {
        let started = starts.get(&format!("coop/{key}/0")).copied().unwrap_or(0);
        let has = |word: &str| told.words.iter().any(|w| w == word);
        assert!(started <= 1, "EGRET_SEED={seed}: {key} started {started} times, {told:?}");
        if has("done") || has("failed") {
            assert_eq!(started, 1, "EGRET_SEED={seed}: {key} never started, {told:?}");
        }
        if told.words.iter().all(|w| w == "not-run") {
            assert_eq!(started, 0, "EGRET_SEED={seed}: {key} started, {told:?}");
        }
        for word in &told.words {
            *counts.entry(word.clone()).or_default() += 1;
        }
    }
    counts
}

#[actix_web::test]
async fn requests_under_kills_and_freezes_start_at_most_once() {
    let it = Deployment::start(2, AGENTS).await;
    let soak = Rc::new(Soak {
        it: RefCell::new(it),
        seed: setting("EGRET_SEED", SEED),
        next: Cell::new(0),
        requests: setting("EGRET_RUNS", REQUESTS),
        calm_ms: setting("EGRET_CALM_MS", 0),
        told: RefCell::default(),
        calling: Cell::new(CALLERS),
    });
    let began = Instant::now();
    let callers: Vec<_> = (0..CALLERS).map(|c| spawn(soak.clone().call(c))).collect();
    let trouble = spawn(soak.clone().disturb());
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    trouble.await.expect("trouble ends");
    sleep(Duration::from_millis(500)).await;
    let Soak { it, seed, told, .. } = Rc::into_inner(soak).expect("all calls ended");
    let starts = it.into_inner().starts().await;
    let counts = check(seed, &told.into_inner(), &starts);
    println!("seed {seed}, {} starts in {:?}: {counts:?}", starts.len(), began.elapsed());
}
