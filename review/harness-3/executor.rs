//! Stand-in for an executor that follows the platform's protocol (orders by `invoke`).

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Answer, Call, Request, number_field, text_field},
    record::Record,
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Longest time until a heartbeat counts as acknowledged.
const ACK_TIME: Duration = Duration::from_secs(1);
const MAX_LEASE_MS: u64 = 1000;
/// Thousandths of a core of a slot.
pub const SLOT_CPU: usize = 400;
const TICK: Duration = Duration::from_millis(2);

/// How long a connection stays open whose call gets no answer.
const SILENCE: Duration = Duration::from_millis(400);

/// Orders that get no answer and are carried out late.
#[derive(Clone, Copy, Default)]
pub struct LateOrders {
    /// share of the orders, in percent
    pub percent: u64,
    /// range of the delay
    pub from_ms: u64,
    pub to_ms: u64,
}

pub struct Executor {
    pub address: SocketAddr,
    pub name: String,
    slots: usize,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
    /// orders under way, and when they are carried out
    late: Mutex<LateQueue>,
}

#[derive(Default)]
struct LateQueue {
    share: LateOrders,
    orders: Vec<(Instant, Request)>,
    random: u64,
}

/// What belongs to one life.
struct State {
    /// start of this life, Unix time
    born: u64,
    origin: Instant,
    is_down: bool,
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
    pub fn start(name: &str, slots: usize, record: Arc<Record>, seed: u64) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let executor = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            name: name.to_owned(),
            slots,
            record,
            state: Mutex::new(State::new()),
            changed: Condvar::new(),
            late: Mutex::new(LateQueue { random: seed * 2 + 1, ..LateQueue::default() }),
        });
        let served = executor.clone();
        http::serve(listener, move |request| served.receive(request));
        let ticking = executor.clone();
        thread::spawn(move || {
            loop {
                ticking.carry_out_late();
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
            let (mut sequence, mut life) = (0, 0);
            loop {
                let (born, clock, is_down) = {
                    let state = this.state();
                    (state.born, state.clock(), state.is_down)
                };
                if is_down {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
                // the counts of a life begin anew
                sequence = if born == life { sequence + 1 } else { 1 };
                life = born;
                let body = format!(
                    concat!(
                        r#"{{"service":"svc","address":"{}","zone":"z1","version":"v1","slots":8,"#,
                        r#""state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":{},"mem_mb":262144,"#,
                        r#""gpu":0}},"labels":["a","r1-1"],"clock_ms":{},"sequence":{},"born":{}}}"#
                    ),
                    this.address,
                    this.slots * SLOT_CPU,
                    clock,
                    sequence,
                    born
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

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics")
    }

    pub fn set_late(&self, share: LateOrders) {
        self.late.lock().expect("no thread panics").share = share;
    }

    /// Ends all runs; nothing is served before the next life.
    pub fn crash(&self) {
        let mut state = self.state();
        let tasks: Vec<String> = state.running.keys().cloned().collect();
        for task in tasks {
            self.end(&mut state, &task, "crashed");
        }
        state.is_down = true;
        self.changed.notify_all();
    }

    /// Begins another life under the same id, which knows nothing of before.
    pub fn start_again(&self) {
        *self.state() = State::new();
    }

    fn receive(&self, request: Request) -> Answer {
        if self.late.lock().expect("no thread panics").delay(&request) {
            thread::sleep(SILENCE);
            return None;
        }
        self.handle(&request)
    }

    fn carry_out_late(&self) {
        let due: Vec<Request> = {
            let (mut late, now) = (self.late.lock().expect("no thread panics"), Instant::now());
            late.orders.extract_if(.., |(at, _)| *at <= now).map(|(_, request)| request).collect()
        };
        for mut request in due {
            // nobody waits for the answer
            request.body = request.body.replace("\"wait_ms\":", "\"waited_ms\":");
            self.handle(&request);
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let body = &request.body;
        let fence = number_field(body, "fence_token").unwrap_or(0);
        let deadline = number_field(body, "deadline_ms");
        let mut state = self.state();
        if state.is_down {
            return None;
        }
        if fence < state.fence {
            return Some(state.refusal("fence"));
        }
        state.fence = fence;
        let answer = match request.target.as_str() {
            "/run-start" => self.start_run(&mut state, body, deadline.unwrap_or(0)),
            "/run-stop" => self.stop_run(&mut state, body),
            "/hold" => {
                let life = state.born;
                state.extend(deadline.unwrap_or(0));
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
                    if state.is_down || state.born != life {
                        return None;
                    }
                }
                (200, state.listing())
            }
            _ => (404, "{}".to_owned()),
        };
        Some(answer)
    }

    fn start_run(&self, state: &mut State, body: &str, deadline: u64) -> (u16, String) {
        let (Some(task), Some(run)) = (text_field(body, "task"), number_field(body, "run")) else {
            return (400, "{}".to_owned());
        };
        if deadline <= state.clock() {
            return state.refusal("late");
        }
        state.extend(deadline);
        let known = state.running.get(task).map(|a| a.run);
        if known == Some(run) {
            return state.done();
        }
        let over = state.over.get(task).copied().unwrap_or(0);
        if known.is_some() || run <= over {
            return state.refusal("old");
        }
        if state.running.len() >= self.slots {
            return state.refusal("room");
        }
        let spec = text_field(body, "spec").unwrap_or("");
        let length = spec.split("ms=").nth(1).and_then(|t| t.parse().ok()).unwrap_or(100);
        let entry = self.record.start(task, run, &self.name);
        let active = Active { run, start: state.clock(), length, entry };
        state.running.insert(task.to_owned(), active);
        state.done()
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
        state.done()
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
        let now = state.clock();
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
}

impl State {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
        Self {
            born: born as u64,
            origin: Instant::now(),
            is_down: false,
            fence: 0,
            deadline: 0,
            running: BTreeMap::new(),
            over: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            odd_running: Vec::new(),
            odd_ended: Vec::new(),
        }
    }

    fn clock(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (409, format!(r#"{{"clock_ms":{},"reason":"{reason}"}}"#, self.clock()))
    }

    fn done(&self) -> (u16, String) {
        (200, format!(r#"{{"clock_ms":{}}}"#, self.clock()))
    }

    /// The lease never shortens, and is never longer than the maximum.
    fn extend(&mut self, deadline: u64) {
        self.deadline = self.deadline.max(deadline.min(self.clock() + MAX_LEASE_MS));
    }

    fn listing(&self) -> String {
        let now = self.clock();
        let mut running: Vec<String> = self
            .running
            .iter()
            .map(|(task, a)| {
                let percent = (now - a.start) * 100 / a.length.max(1);
                format!(r#"["{task}",{},"",{},1000]"#, a.run, percent.min(99))
            })
            .collect();
        let ended = self.ended.iter().take(500);
        let mut ended: Vec<String> = ended
            .map(|(n, task, run, how)| format!(r#"[{n},"{task}",{run},"{how}",""]"#))
            .collect();
        running.extend(self.odd_running.iter().cloned());
        ended.extend(self.odd_ended.iter().map(|(_, element)| element.clone()));
        format!(
            r#"{{"clock_ms":{now},"born":{},"running":[{}],"ended":[{}]}}"#,
            self.born,
            running.join(","),
            ended.join(",")
        )
    }
}

impl LateQueue {
    /// Keeps an order that is to be late; false for one that is carried out at once.
    fn delay(&mut self, request: &Request) -> bool {
        let LateOrders { percent, from_ms, to_ms } = self.share;
        if self.next_random() % 100 >= percent {
            return false;
        }
        let delay = from_ms + self.next_random() % (to_ms - from_ms + 1);
        self.orders.push((Instant::now() + Duration::from_millis(delay), request.clone()));
        true
    }

    /// Xorshift, so that a seed gives the same sequence.
    fn next_random(&mut self) -> u64 {
        let mut x = self.random.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        x ^= x >> 12;
        x ^= x << 25;
        x ^= x >> 27;
        self.random = x;
        x.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 33
    }
}
