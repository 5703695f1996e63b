//! Jobs that are cancelled while their tasks run.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{Outcome, executor::SLOT_CPU, fleet::Fleet, record::Record};

/// `cancel_ms` and `stop_ms` of the deployment.
const CANCEL_TIME: Duration = Duration::from_millis(3000);
const STOP_TIME: Duration = Duration::from_millis(50);
/// `resend_ms` of the deployment.
const RESEND_DELAY: Duration = Duration::from_millis(1300);
/// How long the client of the job waits (`X-Deadline-Ms`).
const CLIENT_WAIT: Duration = Duration::from_secs(25);
/// Longest time until the first task runs.
const START_TIME: Duration = Duration::from_secs(6);
/// Path of the job.
const JOB: &str = "/orders/5c0e7a21d94b36f8";

/// A job of tasks that each take a whole executor for this time.
fn body(count: usize, ms: u64) -> String {
    format!(
        concat!(
            r#"{{"spec":"ms={}","steps":[{{"count":{},"cpu":{},"mem_mb":64,"estimate_ms":{}}}],"#,
            r#""best_effort":true}}"#
        ),
        ms, count, SLOT_CPU, ms
    )
}

/// A job is cancelled over a channel that leads to another entry of the zone. Without the
/// disruption the channel leads to the entry that has the job.
pub fn elsewhere(trouble: bool) -> Outcome {
    let fleet = Fleet::start(2, 2, 1)?;
    let record = fleet.record.clone();
    let (first, second) = (fleet.entries[0].http, fleet.entries[1].http);
    let job = {
        let record = record.clone();
        thread::spawn(move || {
            Fleet::call(&record, (0, first), "POST", JOB, &body(10, 2500), CLIENT_WAIT);
        })
    };
    wait_start(&record)?;
    let to = if trouble { (1, second) } else { (0, first) };
    let answer = Fleet::call(&record, to, "DELETE", JOB, "", Duration::from_secs(4));
    let Some((status, _)) = answer else { return Err("no answer to the cancel".to_owned()) };
    let acked = record.now();
    if status != 410 && !(200..300).contains(&status) {
        return Err(format!("the cancel was answered with {status}"));
    }
    // also past `ack_ms` + `cancel_ms`, if 410 is not taken for an acknowledgement
    thread::sleep(Duration::from_millis(10_500));
    let breaks = late_work(&fleet, acked, status);
    drop(fleet);
    // the client's call ends with the entry
    let _ = job.join();
    Ok((record, breaks))
}

/// A job is cancelled at its entry. Its client gets a 504 and, as the protocol says of best
/// effort jobs, sends it again. Without the disruption nothing is cancelled.
pub fn resend(trouble: bool) -> Outcome {
    let fleet = Fleet::start(2, 4, 1)?;
    let record = fleet.record.clone();
    let (first, second) = (fleet.entries[0].http, fleet.entries[1].http);
    let client = {
        let record = record.clone();
        thread::spawn(move || {
            let answer = Fleet::call(&record, (0, first), "POST", JOB, &body(4, 5000), CLIENT_WAIT);
            // what a client does by the page: after no response, a broken channel, 502 or 504
            if answer.is_none_or(|(status, _)| status == 502 || status == 504) {
                thread::sleep(RESEND_DELAY);
                Fleet::call(&record, (1, second), "POST", JOB, &body(4, 5000), CLIENT_WAIT);
            }
        })
    };
    wait_start(&record)?;
    if !trouble {
        let _ = client.join();
        return Ok((record, Vec::new()));
    }
    let answer = Fleet::call(&record, (0, first), "DELETE", JOB, "", Duration::from_secs(4));
    let Some((status, _)) = answer.filter(|(status, _)| (200..300).contains(status)) else {
        return Err("the cancel was not acknowledged".to_owned());
    };
    let acked = record.now();
    let _ = client.join();
    let breaks = late_work(&fleet, acked, status);
    Ok((record, breaks))
}

/// Waits until a task runs, and a little longer.
fn wait_start(record: &Record) -> Result<(), String> {
    let end = Instant::now() + START_TIME;
    while record.runs().is_empty() {
        if Instant::now() > end {
            return Err("the job has not started".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(300));
    Ok(())
}

/// Starts later than `cancel_ms` after the acknowledgement, and runs that go on then.
fn late_work(fleet: &Fleet, acked: Duration, status: u16) -> Vec<String> {
    let end = acked + CANCEL_TIME;
    let mut breaks = Vec::new();
    for run in fleet.record.runs() {
        let what = if run.start > end {
            "starts"
        } else if run.is_active_at(end + STOP_TIME) {
            "runs"
        } else {
            continue;
        };
        let at = run.start.max(end + STOP_TIME) - acked;
        breaks.push(format!(
            "UNASKED: {} number {} {what} on executor {} {:.3} s after the cancel was answered with {status}",
            run.task,
            run.number,
            run.executor,
            at.as_secs_f64()
        ));
    }
    breaks
}
