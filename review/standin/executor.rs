//! An executor: runs tasks under leases, reports to the agent on its machine, and may
//! crash, restart and drain. A task's run time and demand stand in its spec.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Call, Request, Response, Server};
use crate::json::{Json, object};
use crate::record::{Record, Run};

pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
const MAX_LEASE: Duration = Duration::from_millis(1000);
const MAX_LISTED_ENDS: usize = 500;
const TICK: Duration = Duration::from_millis(2);

#[derive(Clone, Debug)]
pub struct Kind {
    pub service: String,
    pub labels: Vec<String>,
    /// thousandths of a core
    pub cpu: u64,
}

#[derive(Clone)]
pub struct Executor {
    pub address: SocketAddr,
    pub agent: SocketAddr,
    record: Record,
    state: Arc<Mutex<State>>,
    server: Arc<Mutex<Option<Server>>>,
}

/// One life of the executor; `kind` and `id` are those of the next life while it is down.
struct State {
    id: String,
    kind: Kind,
    is_up: bool,
    is_draining: bool,
    remaining: Duration,
    born: u64,
    sequence: u64,
    clock_origin: Instant,
    running: BTreeMap<String, Active>,
    /// highest number of a run that ended or was stopped, by task
    newest: HashMap<String, u64>,
    /// number, task, run, how
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    lease_end: Instant,
    fence: u64,
}

#[derive(Clone)]
struct Active {
    run: u64,
    cpu: u64,
    start: Instant,
    length: Duration,
}

impl Executor {
    /// An executor that is down.
    pub fn new(
        id: &str,
        kind: Kind,
        address: SocketAddr,
        agent: SocketAddr,
        record: &Record,
    ) -> Self {
        let now = Instant::now();
        let state = State {
            id: id.to_owned(),
            kind,
            is_up: false,
            is_draining: false,
            remaining: Duration::ZERO,
            born: 0,
            sequence: 0,
            clock_origin: now,
            running: BTreeMap::new(),
            newest: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            lease_end: now,
            fence: 0,
        };
        let executor = Self {
            address,
            agent,
            record: record.clone(),
            state: Arc::new(Mutex::new(state)),
            server: Arc::default(),
        };
        let ticking = executor.clone();
        thread::spawn(move || {
            loop {
                ticking.advance(&mut ticking.state());
                thread::sleep(TICK);
            }
        });
        executor
    }

    /// Sends a heartbeat now and in each interval from now on, while it is up.
    pub fn start_heartbeats(&self) {
        let executor = self.clone();
        thread::spawn(move || {
            loop {
                let next = Instant::now() + HEARTBEAT_INTERVAL;
                if executor.state().is_up {
                    executor.send_heartbeat();
                }
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
    }

    /// Begins a new life, in which nothing of before is known.
    pub fn boot(&self) -> std::io::Result<()> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        {
            let mut state = self.state();
            state.is_up = true;
            state.is_draining = false;
            state.born = born.as_millis() as u64;
            state.sequence = 0;
            state.clock_origin = Instant::now();
            state.running.clear();
            state.newest.clear();
            state.ended.clear();
            state.last_end = 0;
            state.lease_end = Instant::now();
            state.fence = 0;
            self.record.line(&format!("executor {} starts, {:?}", state.id, state.kind));
        }
        let serving = self.clone();
        let server = Server::start(self.address, move |request| serving.handle(request))?;
        *self.server.lock().unwrap() = Some(server);
        Ok(())
    }

    /// Ends its life at once, and all that runs with it.
    pub fn crash(&self) {
        self.end_life("crash");
    }

    fn end_life(&self, how: &'static str) {
        let mut state = self.state();
        state.is_up = false;
        self.record.line(&format!("executor {} is down", state.id));
        for (task, active) in std::mem::take(&mut state.running) {
            self.record.end_run(&task, active.run, &state.id, how);
        }
        drop(state);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
    }

    /// Id and kind of the next life.
    pub fn set_next(&self, id: Option<&str>, kind: Option<Kind>) {
        let mut state = self.state();
        if let Some(id) = id {
            state.id = id.to_owned();
        }
        if let Some(kind) = kind {
            state.kind = kind;
        }
    }

    /// Ends its life as planned: it drains for so long, deregisters and ends.
    pub fn leave(&self, drain: Duration) {
        let end = Instant::now() + drain;
        {
            let mut state = self.state();
            state.is_draining = true;
            state.remaining = drain;
        }
        self.send_heartbeat();
        while Instant::now() < end {
            thread::sleep(TICK);
            self.state().remaining = end.saturating_duration_since(Instant::now());
        }
        let id = self.state().id.clone();
        self.record.line(&format!("executor {id} deregisters"));
        let path = format!("/Instances.Deregister/{id}");
        self.call_agent(&path, String::new());
        self.end_life("left");
    }

    pub fn send_heartbeat(&self) {
        let (path, body) = {
            let mut state = self.state();
            state.sequence += 1;
            let labels: Vec<Json> = state.kind.labels.iter().map(|l| l.as_str().into()).collect();
            let capacity = object([
                ("cpu", state.kind.cpu.into()),
                ("mem_mb", 32768.into()),
                ("gpu", 0.into()),
            ]);
            let mut body = object([
                ("service", state.kind.service.as_str().into()),
                ("address", self.address.to_string().into()),
                ("zone", "zone-a".into()),
                ("version", "v1".into()),
                ("slots", 8.into()),
                ("state", if state.is_draining { "draining" } else { "ready" }.into()),
                ("cold_remaining_ms", 0.into()),
                ("capacity", capacity),
                ("labels", labels.into()),
                ("clock_ms", state.clock_ms().into()),
                ("sequence", state.sequence.into()),
                ("born", state.born.into()),
            ]);
            if state.is_draining
                && let Json::Object(fields) = &mut body
            {
                let remaining = state.remaining.as_millis() as u64;
                fields.insert("remaining_ms".to_owned(), remaining.into());
            }
            (format!("/Instances.Heartbeat/{}", state.id), body.to_string())
        };
        self.call_agent(&path, body);
    }

    /// Another writer's heartbeat under the id of this executor: fields are missing, and it
    /// counts by itself.
    pub fn send_stray_heartbeat(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (path, body) = {
            let state = self.state();
            let capacity = object([("cpu", state.kind.cpu.into()), ("mem_mb", 32768.into())]);
            let body = object([
                ("service", state.kind.service.as_str().into()),
                ("state", "ready".into()),
                ("capacity", capacity),
                ("sequence", 1.into()),
                ("born", (born.as_millis() as u64).into()),
            ]);
            (format!("/Instances.Heartbeat/{}", state.id), body.to_string())
        };
        self.call_agent(&path, body);
    }

    fn call_agent(&self, path: &str, body: String) {
        let headers = [("host", self.agent.to_string())];
        let wait = Duration::from_secs(1);
        let call = Call {
            to: self.agent,
            method: "POST",
            path,
            headers: &headers,
            body: body.clone(),
            wait,
        };
        let answer = call.send();
        self.record.line(&format!("executor sends {path} {body}: {answer:?}"));
    }

    /// Number of ends in this life.
    pub fn ends(&self) -> u64 {
        self.state().last_end
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if let Some(expected) = request.header("x-expect-instance")
            && expected != self.state().id
        {
            return Some(Response::json(421, object([])));
        }
        let body = request.json();
        match request.path.as_str() {
            "/run-start" => Some(self.start_run(&body)),
            "/run-stop" => Some(self.stop_run(&body)),
            "/hold" => self.hold(&body),
            _ => Some(Response::json(404, object([]))),
        }
    }

    fn start_run(&self, body: &Json) -> Response {
        let mut state = self.state();
        self.advance(&mut state);
        let (task, spec) = (body.text("task").to_owned(), body.text("spec").to_owned());
        let (Some(run), Some(deadline)) = (body.number("run"), body.number("deadline_ms")) else {
            return Response::json(400, object([]));
        };
        let refuse = |state: &State, reason: &str| {
            self.record.line(&format!("start of {task} number {run} is refused: {reason}"));
            let clock = state.clock_ms();
            Response::json(409, object([("clock_ms", clock.into()), ("reason", reason.into())]))
        };
        if !state.accept_fence(body) {
            return refuse(&state, "fence");
        }
        if deadline < state.clock_ms() {
            return refuse(&state, "late");
        }
        state.extend_lease(deadline);
        let clock = object([("clock_ms", state.clock_ms().into())]);
        if state.running.get(&task).is_some_and(|active| active.run == run) {
            return Response::json(200, clock);
        }
        let is_old = state.newest.get(&task).is_some_and(|newest| run <= *newest);
        if is_old || state.running.contains_key(&task) {
            return refuse(&state, "old");
        }
        let cpu = spec_number(&spec, "cpu").unwrap_or_default();
        let used: u64 = state.running.values().map(|active| active.cpu).sum();
        if used + cpu > state.kind.cpu {
            return refuse(&state, "room");
        }
        let length = Duration::from_millis(spec_number(&spec, "run_ms").unwrap_or(100));
        let active = Active { run, cpu, start: Instant::now(), length };
        state.running.insert(task.clone(), active);
        self.record.begin_run(Run {
            task,
            number: run,
            executor: state.id.clone(),
            labels: state.kind.labels.clone(),
            start: self.record.now(),
            end: None,
            how: "",
        });
        Response::json(200, clock)
    }

    fn stop_run(&self, body: &Json) -> Response {
        let mut state = self.state();
        self.advance(&mut state);
        let clock = state.clock_ms();
        if !state.accept_fence(body) {
            let reply = [("clock_ms", clock.into()), ("reason", "fence".into())];
            return Response::json(409, object(reply));
        }
        let (task, run) = (body.text("task").to_owned(), body.number("run").unwrap_or_default());
        if state.running.get(&task).is_some_and(|active| active.run <= run) {
            self.end_run(&mut state, &task, "stopped");
        }
        let newest = state.newest.entry(task).or_default();
        *newest = run.max(*newest);
        Response::json(200, object([("clock_ms", clock.into())]))
    }

    fn hold(&self, body: &Json) -> Option<Response> {
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or_default().min(2000));
        let end = Instant::now() + wait;
        let born = {
            let mut state = self.state();
            self.advance(&mut state);
            if !state.accept_fence(body) {
                let reply = [("clock_ms", state.clock_ms().into()), ("reason", "fence".into())];
                return Some(Response::json(409, object(reply)));
            }
            let acked = body.number("ack_offset").unwrap_or_default();
            state.ended.retain(|(number, ..)| *number > acked);
            if let Some(deadline) = body.number("deadline_ms") {
                state.extend_lease(deadline);
            }
            state.born
        };
        loop {
            {
                let mut state = self.state();
                self.advance(&mut state);
                if state.born != born || !state.is_up {
                    return None;
                }
                if !state.ended.is_empty() || Instant::now() >= end {
                    return Some(Response::json(200, state.listing()));
                }
            }
            thread::sleep(TICK);
        }
    }

    /// Ends the runs that are done or whose lease has lapsed.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let has_lapsed = now > state.lease_end;
        let is_over = |active: &Active| now >= active.start + active.length;
        let due: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, active)| match is_over(active) {
                true => Some((task.clone(), "done")),
                false => has_lapsed.then(|| (task.clone(), "lapsed")),
            })
            .collect();
        for (task, how) in due {
            self.end_run(state, &task, how);
        }
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(active) = state.running.remove(task) else { return };
        let newest = state.newest.entry(task.to_owned()).or_default();
        *newest = active.run.max(*newest);
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, task.to_owned(), active.run, how));
        self.record.end_run(task, active.run, &state.id, how);
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.clock_origin.elapsed().as_millis() as u64
    }

    /// False for a token that is lower than one seen before.
    fn accept_fence(&mut self, body: &Json) -> bool {
        let fence = body.number("fence_token").unwrap_or_default();
        let is_valid = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_valid
    }

    /// Extends the lease to a time on its clock; it never gets shorter.
    fn extend_lease(&mut self, deadline_ms: u64) {
        let left = Duration::from_millis(deadline_ms.saturating_sub(self.clock_ms()));
        self.lease_end = self.lease_end.max(Instant::now() + left.min(MAX_LEASE));
    }

    fn listing(&self) -> Json {
        let running = self.running.iter().map(|(task, active)| {
            let share = active.start.elapsed().as_secs_f64() / active.length.as_secs_f64();
            let percent = (share * 100.0).min(99.0) as u64;
            let row = vec![
                task.as_str().into(),
                active.run.into(),
                "".into(),
                percent.into(),
                active.cpu.into(),
            ];
            Json::List(row)
        });
        let ended = self.ended.iter().take(MAX_LISTED_ENDS).map(|(number, task, run, how)| {
            let row = vec![
                (*number).into(),
                task.as_str().into(),
                (*run).into(),
                (*how).into(),
                "".into(),
            ];
            Json::List(row)
        });
        object([
            ("clock_ms", self.clock_ms().into()),
            ("born", self.born.into()),
            ("running", running.collect::<Vec<_>>().into()),
            ("ended", ended.collect::<Vec<_>>().into()),
        ])
    }
}

/// A number of a spec such as `cpu=5000 run_ms=100`.
fn spec_number(spec: &str, name: &str) -> Option<u64> {
    let mut pairs = spec.split(' ').filter_map(|word| word.split_once('='));
    pairs.find(|(n, _)| *n == name)?.1.parse().ok()
}
