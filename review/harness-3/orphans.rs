//! Agents are killed and start again while orders to executors get no answer and are
//! carried out late.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    executor::{LateOrders, SLOT_CPU},
    fleet::{Fleet, PREFIX},
    lives::overlaps,
    record::Record,
};

const AGENTS: usize = 8;
const SLOTS: usize = 150;
const ENTRIES: usize = 3;
/// Jobs of a round, each of this many tasks of this time.
const JOBS: usize = 4;
const TASKS: u64 = 100;
const TASK_MS: u64 = 3000;
const RESEND_DELAY: Duration = Duration::from_millis(1300);
const CLIENT_WAIT: Duration = Duration::from_secs(12);
const ROUNDS: usize = 20;
const ROUND: Duration = Duration::from_millis(5000);
/// Time from the jobs of a round to its disruption.
const START_TIME: Duration = Duration::from_millis(700);
/// Orders are late for this long in each round.
const LATE_PERIOD: Duration = Duration::from_millis(2500);
/// Agents that are killed at the same moment.
const KILLED: usize = 4;
/// Time from the end of an agent to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(100);
const LATE: LateOrders = LateOrders { percent: 50, from_ms: 2000, to_ms: 12_000 };

pub fn run(trouble: bool) -> Outcome {
    let mut fleet = Fleet::start(ENTRIES, AGENTS, SLOTS)?;
    let record = fleet.record.clone();
    let addresses: Vec<_> = fleet.entries.iter().map(|e| e.http).collect();
    let mut breaks = Vec::new();
    for round in 0..ROUNDS {
        let begin = Instant::now();
        for job in 0..JOBS {
            let path = format!("{PREFIX}{:016x}", round * JOBS + job + 1);
            let (record, addresses) = (record.clone(), addresses.clone());
            thread::spawn(move || submit(&record, &addresses, job, &path));
        }
        thread::sleep(START_TIME);
        if trouble {
            let busiest = busiest(&record);
            fleet.executors.iter().for_each(|e| e.set_late(LATE));
            for i in &busiest {
                fleet.kill_agent(*i)?;
            }
            thread::sleep(RESTART_DELAY);
            for i in &busiest {
                fleet.start_agent(*i)?;
            }
            thread::sleep(LATE_PERIOD.saturating_sub(begin.elapsed().saturating_sub(START_TIME)));
            fleet.executors.iter().for_each(|e| e.set_late(LateOrders::default()));
        }
        breaks = overlaps(&record.runs());
        if !breaks.is_empty() {
            break;
        }
        thread::sleep(ROUND.saturating_sub(begin.elapsed()));
    }
    Ok((record, breaks))
}

/// The agents whose executors have the most runs.
fn busiest(record: &Record) -> Vec<usize> {
    let mut counts: Vec<(usize, usize)> = (0..AGENTS).map(|i| (0, i)).collect();
    for run in record.runs().iter().filter(|r| r.end.is_none()) {
        if let Ok(i) = run.executor.parse::<usize>() {
            counts[i].0 += 1;
        }
    }
    counts.sort_by(|a, b| b.cmp(a));
    counts.iter().take(KILLED).map(|(_, i)| *i).collect()
}

/// Submits a job, and sends it again as the protocol says.
fn submit(record: &Record, addresses: &[std::net::SocketAddr], entry: usize, path: &str) {
    let body = format!(
        concat!(
            r#"{{"spec":"ms={}","steps":[{{"count":{},"cpu":{},"mem_mb":64,"estimate_ms":{}}}],"#,
            r#""best_effort":true}}"#
        ),
        TASK_MS, TASKS, SLOT_CPU, TASK_MS
    );
    for attempt in 0..2 {
        let at = (entry + attempt) % addresses.len();
        let answer = Fleet::call(record, (at, addresses[at]), "POST", path, &body, CLIENT_WAIT);
        if answer.is_some_and(|(status, _)| status != 502 && status != 504) {
            return;
        }
        thread::sleep(RESEND_DELAY);
    }
}
