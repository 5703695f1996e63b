//! Entries of another writer in the lists that the programs read.

use std::{thread, time::Duration};

use crate::{
    Outcome,
    fleet::{Fleet, PREFIX, config},
    http::UNREADABLE,
};

/// `config_apply_ms` of the deployment, and a little more.
const APPLY_TIME: Duration = Duration::from_millis(2500);
const CLIENT_WAIT: Duration = Duration::from_secs(5);
const BODY: &str = concat!(
    r#"{"spec":"ms=200","steps":[{"count":2,"cpu":400,"mem_mb":64,"estimate_ms":200}],"#,
    r#""best_effort":true}"#
);
const JOBS: usize = 8;
const PAUSE: Duration = Duration::from_secs(1);

/// A row of another writer stands in the table `op` when the operator removes one route and
/// adds another.
pub fn row(trouble: bool) -> Outcome {
    let fleet = Fleet::start(2, 2, 8)?;
    let record = fleet.record.clone();
    if trouble {
        fleet.store.put_odd("another", UNREADABLE);
        record.note("a row with bytes that can't be read is in the table op");
        thread::sleep(Duration::from_secs(1));
    }
    fleet.store.put("config", &config(2, &[("r-bills", "/bills/")]));
    record.note("the store has acknowledged version 2: without /orders/, with /bills/");
    thread::sleep(APPLY_TIME);
    let mut breaks = Vec::new();
    for (i, entry) in fleet.entries.iter().enumerate() {
        for (prefix, wanted) in [(PREFIX, 404), ("/bills/", 200)] {
            let path = format!("{prefix}00000000000000{i:02x}");
            let answer = Fleet::call(&record, (i, entry.http), "POST", &path, BODY, CLIENT_WAIT);
            let status = answer.map(|(status, _)| status);
            if status != Some(wanted) {
                breaks.push(format!("CONFIG: {path} at entry {i}: {status:?}, not {wanted}"));
            }
        }
    }
    Ok((record, breaks))
}

/// Each executor lists one end of another writer, whose number is high and whose `how` is
/// not named in the protocol.
pub fn end(trouble: bool) -> Outcome {
    let fleet = Fleet::start(2, 2, 8)?;
    if trouble {
        for executor in &fleet.executors {
            let element = r#"[1000000,"00000000000000aa.0.0.0",1,"moved"]"#;
            executor.add_odd_end(1_000_000, element);
        }
        fleet.record.note("each executor lists an end of another writer");
    }
    serve(&fleet)
}

/// Each executor lists one run of another writer, of which two fields are missing.
pub fn run(trouble: bool) -> Outcome {
    let fleet = Fleet::start(2, 2, 8)?;
    if trouble {
        for executor in &fleet.executors {
            executor.add_odd_run(r#"["00000000000000aa.0.0.0",1]"#);
        }
        fleet.record.note("each executor lists a run of another writer");
    }
    serve(&fleet)
}

/// Submits jobs one after the other; the rule is broken if none is served.
fn serve(fleet: &Fleet) -> Outcome {
    let record = fleet.record.clone();
    thread::sleep(Duration::from_secs(1));
    let mut served = 0;
    for i in 0..JOBS {
        let (entry, path) = (i % fleet.entries.len(), format!("{PREFIX}00000000000001{i:02x}"));
        let to = (entry, fleet.entries[entry].http);
        let answer = Fleet::call(&record, to, "POST", &path, BODY, CLIENT_WAIT);
        thread::sleep(PAUSE);
        served += usize::from(answer.is_some_and(|(s, b)| s == 200 && b.contains("completed")));
    }
    let done = record.runs().iter().filter(|r| r.end.is_some_and(|(_, how)| how == "done")).count();
    record.note(format!("served: {served} of {JOBS} jobs; runs that ended done: {done}"));
    let mut breaks = Vec::new();
    if served == 0 {
        breaks.push(format!("Fault: none of {JOBS} jobs is served; {done} runs ended done"));
    }
    Ok((record, breaks))
}
