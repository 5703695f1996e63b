//! Stand-in for an executor that follows the platform's protocol (orders by `invoke`).

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Call, Request, number_field, text_field},
    record::Record,
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Longest time until a heartbeat counts as acknowledged.
const ACK_TIME: Duration = Duration::from_secs(1);
const MAX_LEASE_MS: u64 = 1000;
/// Thousandths of a core of a slot.
pub const SLOT_CPU: usize = 400;
const TICK: Duration = Duration::from_millis(2);

pub struct Executor {
    pub address: SocketAddr,
    pub name: String,
    born: u64,
    origin: Instant,
    slots: usize,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    fence: u64,
    /// end of the lease, on the executor's clock
    deadline: u64,
    running: BTreeMap<String, Active>,
    /// highest run of each task that was stopped or ended here
    over: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// elements of another writer in the list of runs
    odd_running: Vec<String>,
    /// the same in the list of ends, by their numbers
    odd_ended: Vec<(u64, String)>,
}

struct Active {
    run: u64,
    start: u64,
    length: u64,
    /// key in the record
    entry: usize,
}

impl Executor {
    /// Starts an executor; tasks run for the time that their spec names as `ms=N`.
    pub fn start(name: &str, slots: usize, record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
        let executor = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            name: name.to_owned(),
            born: born as u64,
            origin: Instant::now(),
            slots,
            record,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = executor.clone();
        http::serve(listener, move |request| served.handle(&request));
        let ticking = executor.clone();
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(TICK);
            }
        });
        executor
    }

    /// Sends heartbeats to the agent at `to` for as long as the process lives.
    pub fn beat(self: &Arc<Self>, to: SocketAddr) {
        let this = self.clone();
        thread::spawn(move || {
            let mut sequence = 0;
            loop {
                sequence += 1;
                let body = format!(
                    concat!(
                        r#"{{"service":"svc","address":"{}","zone":"z1","version":"v1","slots":8,"#,
                        r#""state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":{},"mem_mb":262144,"#,
                        r#""gpu":0}},"labels":["a","r1-1"],"clock_ms":{},"sequence":{},"born":{}}}"#
                    ),
                    this.address,
                    this.slots * SLOT_CPU,
                    this.clock(),
                    sequence,
                    this.born
                );
                let path = format!("/Instances.Heartbeat/i-{}", this.name);
                let (host, headers) = ("agent", String::new());
                let call = Call {
                    method: "POST",
                    path: &path,
                    host,
                    headers,
                    body: &body,
                    wait: ACK_TIME,
                };
                let acked = http::call(to, &call).is_some_and(|(status, _)| status == 200);
                thread::sleep(if acked { HEARTBEAT_INTERVAL } else { Duration::from_millis(100) });
            }
        });
    }

    /// Adds an element of another writer to the list of runs.
    pub fn add_odd_run(&self, element: &str) {
        self.state().odd_running.push(element.to_owned());
    }

    /// Adds an element of another writer to the list of ends.
    pub fn add_odd_end(&self, number: u64, element: &str) {
        self.state().odd_ended.push((number, element.to_owned()));
    }

    fn clock(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics")
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let body = &request.body;
        let fence = number_field(body, "fence_token").unwrap_or(0);
        let deadline = number_field(body, "deadline_ms");
        let mut state = self.state();
        if fence < state.fence {
            return self.refusal("fence");
        }
        state.fence = fence;
        match request.target.as_str() {
            "/run-start" => self.start_run(&mut state, body, deadline.unwrap_or(0)),
            "/run-stop" => self.stop_run(&mut state, body),
            "/hold" => {
                self.extend(&mut state, deadline.unwrap_or(0));
                let acked = number_field(body, "ack_offset").unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > acked);
                state.odd_ended.retain(|(number, _)| *number > acked);
                let wait = number_field(body, "wait_ms").unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                while state.ended.is_empty() && state.odd_ended.is_empty() {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).expect("no thread panics").0;
                }
                (200, self.listing(&state))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (409, format!(r#"{{"clock_ms":{},"reason":"{reason}"}}"#, self.clock()))
    }

    fn done(&self) -> (u16, String) {
        (200, format!(r#"{{"clock_ms":{}}}"#, self.clock()))
    }

    /// The lease never shortens, and is never longer than the maximum.
    fn extend(&self, state: &mut State, deadline: u64) {
        state.deadline = state.deadline.max(deadline.min(self.clock() + MAX_LEASE_MS));
    }

    fn start_run(&self, state: &mut State, body: &str, deadline: u64) -> (u16, String) {
        let (Some(task), Some(run)) = (text_field(body, "task"), number_field(body, "run")) else {
            return (400, "{}".to_owned());
        };
        if deadline <= self.clock() {
            return self.refusal("late");
        }
        self.extend(state, deadline);
        let known = state.running.get(task).map(|a| a.run);
        if known == Some(run) {
            return self.done();
        }
        let over = state.over.get(task).copied().unwrap_or(0);
        if known.is_some() || run <= over {
            return self.refusal("old");
        }
        if state.running.len() >= self.slots {
            return self.refusal("room");
        }
        let spec = text_field(body, "spec").unwrap_or("");
        let length = spec.split("ms=").nth(1).and_then(|t| t.parse().ok()).unwrap_or(100);
        let entry = self.record.start(task, run, &self.name);
        let active = Active { run, start: self.clock(), length, entry };
        state.running.insert(task.to_owned(), active);
        self.done()
    }

    fn stop_run(&self, state: &mut State, body: &str) -> (u16, String) {
        let (Some(task), Some(run)) = (text_field(body, "task"), number_field(body, "run")) else {
            return (400, "{}".to_owned());
        };
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run);
        if state.running.get(task).is_some_and(|a| a.run <= run) {
            self.end(state, task, "stopped");
        }
        self.done()
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(active) = state.running.remove(task) else { return };
        self.record.end(active.entry, how);
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(active.run);
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, task.to_owned(), active.run, how));
        self.changed.notify_all();
    }

    /// Ends the runs that are complete, and all of them once the lease has expired.
    fn tick(&self) {
        let mut state = self.state();
        let now = self.clock();
        let has_lapsed = state.deadline < now;
        let over: Vec<(String, bool)> = state
            .running
            .iter()
            .map(|(task, active)| (task.clone(), active.start + active.length <= now))
            .filter(|(_, is_done)| *is_done || has_lapsed)
            .collect();
        for (task, is_done) in over {
            self.end(&mut state, &task, if is_done { "done" } else { "lapsed" });
        }
    }

    fn listing(&self, state: &State) -> String {
        let now = self.clock();
        let mut running: Vec<String> = state
            .running
            .iter()
            .map(|(task, a)| {
                let percent = (now - a.start) * 100 / a.length.max(1);
                format!(r#"["{task}",{},"",{},1000]"#, a.run, percent.min(99))
            })
            .collect();
        let ended = state.ended.iter().take(500);
        let mut ended: Vec<String> = ended
            .map(|(n, task, run, how)| format!(r#"[{n},"{task}",{run},"{how}",""]"#))
            .collect();
        running.extend(state.odd_running.iter().cloned());
        ended.extend(state.odd_ended.iter().map(|(_, element)| element.clone()));
        format!(
            r#"{{"clock_ms":{now},"born":{},"running":[{}],"ended":[{}]}}"#,
            self.born,
            running.join(","),
            ended.join(",")
        )
    }
}
