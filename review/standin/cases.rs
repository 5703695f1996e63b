//! The cases. Each gives what broke its rule, and nothing if the rule held.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::Kind;
use crate::fleet::{Channel, Fleet, Job, Result, Route, configuration, job_id, submit};
use crate::http::Answer;
use crate::record::{Record, Run};

pub type Verdict = Result<Vec<String>>;

const HOST: &str = "desk.example";
const ROUTE: Route =
    Route { name: "r-orders", host: HOST, prefix: "/orders/", service: "order-desk", priority: 0 };
/// Time budget of the callers on the sheets of all sites.
const BUDGET: Duration = Duration::from_millis(1500);

pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    match case {
        "label-after-restart" => label_after_restart(trouble, record),
        "planned-restart" => planned_restart(trouble, record),
        "stray-heartbeat" => stray_heartbeat(trouble, record),
        "priority-band" => priority_band(trouble, record),
        "cancel-elsewhere" => cancel_elsewhere(trouble, record),
        "same-id" => same_id(trouble, record),
        _ => Err(format!("no such case: {case}")),
    }
}

fn kind(labels: &[&str]) -> Kind {
    Kind {
        service: ROUTE.service.to_owned(),
        labels: labels.iter().map(|l| (*l).to_owned()).collect(),
        cpu: 16_000,
    }
}

fn job(number: u64) -> Job {
    Job {
        host: HOST,
        prefix: ROUTE.prefix,
        id: job_id(number),
        tasks: 1,
        cpu: 4000,
        run_ms: 100,
        label: "",
        wait: BUDGET,
    }
}

/// An executor crashes and starts again under its id, as another kind.
fn label_after_restart(trouble: bool, record: &Record) -> Verdict {
    const DOWN: Duration = Duration::from_millis(1000);
    let mut fleet = Fleet::start(record, &[ROUTE])?;
    fleet.add_entries(2)?;
    fleet.add_side(kind(&["a", "r1-1"]))?;
    fleet.add_side(kind(&["b", "r1-2"]))?;
    fleet.wait_ready()?;
    let start = Instant::now();
    let mut number = 0;
    let mut is_crashed = false;
    let restart = |fleet: &Fleet| {
        let executor = &fleet.sides[0].executor;
        executor.set_next(None, Some(kind(&["b", "r1-1"])));
        executor.boot().map_err(|e| e.to_string())
    };
    let mut is_restarted = false;
    while start.elapsed() < Duration::from_secs(12) {
        if trouble && !is_crashed && start.elapsed() > Duration::from_secs(4) {
            is_crashed = true;
            fleet.sides[0].executor.crash();
        }
        if is_crashed && !is_restarted && start.elapsed() > Duration::from_secs(4) + DOWN {
            is_restarted = true;
            restart(&fleet)?;
        }
        number += 1;
        let (record, to) = (record.clone(), fleet.entries[number as usize % 2].http);
        let it = Job { label: "a", ..job(number) };
        thread::spawn(move || submit(&record, to, number as usize % 2, &it));
        thread::sleep(Duration::from_millis(40));
    }
    thread::sleep(BUDGET);
    let runs = record.runs();
    record.line(&format!("{} runs of {number} jobs", runs.len()));
    let wrong = runs.iter().filter(|r| !r.labels.contains(&"a".to_owned()));
    Ok(wrong.map(|r| format!("{} needs a, and started on {:?}", r.task, r.labels)).collect())
}

/// The executors are restarted as planned, one after the other, after some large jobs.
/// The gate's bound: refused and failed requests are at most 60% of those owed.
fn planned_restart(trouble: bool, record: &Record) -> Verdict {
    const LARGE_JOBS: u64 = 12;
    const DRAIN: Duration = Duration::from_millis(2500);
    const DOWN: Duration = Duration::from_millis(1000);
    const MOST_FAILED: f64 = 0.6;
    let mut fleet = Fleet::start(record, &[ROUTE])?;
    fleet.add_entries(1)?;
    fleet.add_side(kind(&["a"]))?;
    fleet.add_side(kind(&["a"]))?;
    fleet.wait_ready()?;
    let mut answers = Vec::new();
    for number in 1..=LARGE_JOBS {
        let large = Job { tasks: 250, cpu: 2000, run_ms: 20, ..job(number) };
        answers.push(fleet.submit(0, &large));
    }
    let traffic = Traffic::start(fleet.entries[0].http, record, Duration::from_millis(100));
    for (i, side) in fleet.sides.iter().enumerate() {
        record.line(&format!("{} ends so far on executor {}", side.executor.ends(), i + 1));
        if trouble {
            side.executor.leave(DRAIN);
            thread::sleep(DOWN);
            side.executor.set_next(Some(&format!("i-{}", i + 11)), None);
            side.executor.boot().map_err(|e| e.to_string())?;
            side.executor.send_heartbeat();
        } else {
            thread::sleep(DRAIN + DOWN);
        }
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(45));
    answers.extend(traffic.stop());
    let failed = answers.iter().filter(|a| a.status() != 200).count();
    let mut done = BTreeMap::<String, usize>::new();
    for run in record.runs().into_iter().filter(|r| r.how == "done") {
        *done.entry(run.task).or_default() += 1;
    }
    let repeated = done.values().filter(|count| **count > 1).count();
    let most = done.values().max().copied().unwrap_or_default();
    let line = format!(
        "{failed} of {} requests refused or failed; {repeated} tasks ended done more than once, \
         one of them {most} times",
        answers.len()
    );
    record.line(&line);
    let is_broken = failed as f64 > MOST_FAILED * answers.len() as f64;
    Ok(if is_broken { vec![line] } else { Vec::new() })
}

/// Jobs of one task, sent at even intervals.
struct Traffic {
    is_over: Arc<AtomicBool>,
    sender: thread::JoinHandle<Vec<thread::JoinHandle<Answer>>>,
}

impl Traffic {
    fn start(to: SocketAddr, record: &Record, interval: Duration) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let (stop, record) = (is_over.clone(), record.clone());
        let sender = thread::spawn(move || {
            let mut calls = Vec::new();
            while !stop.load(Ordering::Acquire) {
                let it = Job { run_ms: 300, ..job(1000 + calls.len() as u64) };
                let record = record.clone();
                calls.push(thread::spawn(move || submit(&record, to, 0, &it)));
                thread::sleep(interval);
            }
            calls
        });
        Self { is_over, sender }
    }

    /// Stops sending; gives the answers to all jobs.
    fn stop(self) -> Vec<Answer> {
        self.is_over.store(true, Ordering::Release);
        let calls = self.sender.join().unwrap_or_default();
        calls.into_iter().filter_map(|call| call.join().ok()).collect()
    }
}

/// A heartbeat with fields missing, of another writer, reaches the agent of an executor
/// that drains.
fn stray_heartbeat(trouble: bool, record: &Record) -> Verdict {
    /// `drain_ms` of the site.
    const DRAIN_LIMIT: Duration = Duration::from_millis(2000);
    const DRAIN: Duration = Duration::from_secs(8);
    let mut fleet = Fleet::start(record, &[ROUTE])?;
    fleet.add_entries(1)?;
    fleet.add_side(kind(&["a"]))?;
    fleet.add_side(kind(&["a"]))?;
    fleet.wait_ready()?;
    let traffic = Traffic::start(fleet.entries[0].http, record, Duration::from_millis(50));
    thread::sleep(Duration::from_secs(2));
    let executor = fleet.sides[0].executor.clone();
    let leaving = thread::spawn(move || executor.leave(DRAIN));
    // its first heartbeat as a draining one is acknowledged by then
    thread::sleep(Duration::from_millis(500));
    let acked_at = record.now();
    if trouble {
        fleet.sides[0].executor.send_stray_heartbeat();
    }
    let _ = leaving.join();
    traffic.stop();
    let runs = record.runs();
    let late = runs.iter().filter(|r| r.executor == "i-1" && r.start > acked_at + DRAIN_LIMIT);
    let describe = |r: &Run| {
        format!(
            "{} starts on i-1 at {:?}, draining was acknowledged by {acked_at:?}",
            r.task, r.start
        )
    };
    Ok(late.map(describe).collect())
}

/// Jobs of two queues have the same id.
fn same_id(trouble: bool, record: &Record) -> Verdict {
    let bills =
        Route { name: "r-bills", host: HOST, prefix: "/bills/", service: "bill-desk", priority: 1 };
    let prefix = bills.prefix;
    let mut fleet = Fleet::start(record, &[ROUTE, bills])?;
    fleet.add_entries(1)?;
    fleet.add_side(kind(&["a"]))?;
    fleet.add_side(Kind { service: "bill-desk".to_owned(), ..kind(&["a"]) })?;
    fleet.wait_ready()?;
    let mut broken = Vec::new();
    for round in 1..=20 {
        let first = Job { run_ms: 300, ..job(round) };
        let number = if trouble { round } else { 1000 + round };
        let second = Job { prefix, run_ms: 300, ..job(number) };
        let (copy, to) = (record.clone(), fleet.entries[0].http);
        let other = thread::spawn(move || submit(&copy, to, 0, &first));
        thread::sleep(Duration::from_millis(50));
        let answer = fleet.submit(0, &second);
        let _ = other.join();
        let task = format!("{}.0.0.0", second.id);
        let has_run =
            record.runs().iter().any(|r| r.task == task && r.executor == "i-2" && r.how == "done");
        if answer.status() == 200 && !has_run {
            broken.push(format!("{prefix}{} is said to be completed and has not run", second.id));
        }
    }
    Ok(broken)
}

/// A configuration adds a queue with a high number as its priority, and removes another.
fn priority_band(trouble: bool, record: &Record) -> Verdict {
    /// `config_apply_ms` of the site.
    const APPLY_LIMIT: Duration = Duration::from_millis(2000);
    let service = ROUTE.service;
    let old = Route { name: "r-old", host: HOST, prefix: "/old/", service, priority: 0 };
    let priority = if trouble { 2000 } else { 2 };
    let nightly = Route { name: "r-nightly", host: HOST, prefix: "/nightly/", service, priority };
    let (removed, added) = (old.prefix, nightly.prefix);
    let mut fleet = Fleet::start(record, &[ROUTE, old])?;
    fleet.add_entries(2)?;
    fleet.add_side(kind(&["a"]))?;
    fleet.add_side(kind(&["a"]))?;
    fleet.wait_ready()?;
    let first = fleet.submit(0, &Job { prefix: removed, ..job(1) });
    if first.status() != 200 {
        return Err(format!("no service before the change: {first:?}"));
    }
    let document = configuration(2, &[ROUTE, nightly]);
    fleet.store.put("config", &document);
    record.line(&format!("the operator has written {document}"));
    thread::sleep(APPLY_LIMIT);
    let mut broken = Vec::new();
    for number in 2..42 {
        thread::sleep(Duration::from_millis(250));
        let entry = number as usize % 2;
        let of_removed = fleet.submit(entry, &Job { prefix: removed, ..job(number) });
        if of_removed.status() == 200 {
            broken.push(format!("{removed}{} has run with a dropped route", job_id(number)));
        }
        let of_added = fleet.submit(entry, &Job { prefix: added, ..job(100 + number) });
        if of_added.status() == 404 {
            broken.push(format!(
                "404 for {added}{}, though the route is there",
                job_id(100 + number)
            ));
        }
    }
    Ok(broken)
}

/// A caller cancels a job; its channel to the entry with the job is reset, so the call is
/// repeated at another entry.
fn cancel_elsewhere(trouble: bool, record: &Record) -> Verdict {
    /// `cancel_ms` of the site.
    const CANCEL_LIMIT: Duration = Duration::from_millis(3000);
    const WAIT: Duration = Duration::from_secs(15);
    let mut fleet = Fleet::start(record, &[ROUTE])?;
    fleet.add_entries(2)?;
    fleet.add_side(kind(&["a"]))?;
    fleet.wait_ready()?;
    let long = Job { tasks: 40, cpu: 4000, run_ms: 900, wait: WAIT, ..job(1) };
    let (copy, it, to) = (record.clone(), long.clone(), fleet.entries[0].http);
    let caller = thread::spawn(move || submit(&copy, to, 0, &it));
    thread::sleep(Duration::from_millis(1500));
    if record.runs().is_empty() {
        return Err("the job has not started".to_owned());
    }
    let mut answer = Answer::Broken;
    if trouble {
        answer = fleet.cancel(0, &long, Channel::Reset);
    }
    if answer == Answer::Broken {
        answer = fleet.cancel(usize::from(trouble), &long, Channel::Whole);
    }
    let acked_at = record.now();
    if ![200, 410].contains(&answer.status()) {
        return Err(format!("the cancelling was not acknowledged: {answer:?}"));
    }
    let _ = caller.join();
    let runs = record.runs();
    let late = runs.iter().filter(|r| r.start > acked_at + CANCEL_LIMIT);
    let describe =
        |r: &Run| format!("{} starts {:?} after its job was cancelled", r.task, r.start - acked_at);
    Ok(late.map(describe).collect())
}
