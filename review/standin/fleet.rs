//! A small deployment: entries, agents and their executors, each machine with a loopback
//! address of its own, started with the templates and commands of the deploy folder.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::executor::{Executor, Kind};
use crate::http::{Answer, Call, Server};
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;

const FRONTEND_PORT: u16 = 8161;
const READINESS_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const APP_PORT: u16 = 8165;
const STORE_PORT: u16 = 8169;
const RPC_PORT: u16 = 7720;
const METRICS_PORT: u16 = 9464;
const PORTS: [u16; 7] =
    [FRONTEND_PORT, READINESS_PORT, CONTROL_PORT, APP_PORT, STORE_PORT, RPC_PORT, METRICS_PORT];
const MAX_MACHINES: u8 = 8;
const START_LIMIT: Duration = Duration::from_secs(20);

/// Sends a process this signal when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

pub type Result<T> = std::result::Result<T, String>;

/// A queue of the configuration.
pub struct Route {
    pub name: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    /// 0 comes first
    pub priority: u64,
}

pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub entries: Vec<Entry>,
    pub sides: Vec<Side>,
    dir: PathBuf,
    network: (u8, u8),
    machines: u8,
    root: PathBuf,
    store_server: Server,
}

pub struct Entry {
    _process: Process,
    pub http: SocketAddr,
    readiness: SocketAddr,
}

/// A machine with an agent and an executor.
pub struct Side {
    _agent: Process,
    pub executor: Executor,
}

/// A program of the project, killed at the end.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Fleet {
    /// Starts the store with a first configuration.
    pub fn start(record: &Record, routes: &[Route]) -> Result<Self> {
        let root = std::env::current_dir().map_err(text)?;
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(text)?;
        let network = free_network().ok_or("no free addresses")?;
        let address = SocketAddr::from((Ipv4Addr::new(127, network.0, network.1, 1), STORE_PORT));
        let (store, store_server) = Store::start(address).map_err(text)?;
        store.put("config", &configuration(1, routes));
        Ok(Self {
            record: record.clone(),
            store,
            entries: Vec::new(),
            sides: Vec::new(),
            dir,
            network,
            machines: 1,
            root,
            store_server,
        })
    }

    fn next_ip(&mut self) -> Ipv4Addr {
        self.machines += 1;
        Ipv4Addr::new(127, self.network.0, self.network.1, self.machines)
    }

    /// Adds machines with entries; those added first are the seeds of all.
    pub fn add_entries(&mut self, count: u8) -> Result<()> {
        let ips: Vec<Ipv4Addr> = (0..count).map(|_| self.next_ip()).collect();
        let seeds = seeds(&ips);
        fs::write(self.dir.join("seeds"), &seeds).map_err(text)?;
        for (i, ip) in ips.iter().enumerate() {
            let name = format!("frontend-{}", i + 1);
            let http = SocketAddr::from((*ip, FRONTEND_PORT));
            let readiness = SocketAddr::from((*ip, READINESS_PORT));
            let values = [
                ("{{listen.frontend|json}}", format!("\"{http}\"")),
                ("{{listen.readiness|json}}", format!("\"{readiness}\"")),
                ("{{platform.address}}", self.store_server.address.to_string()),
            ];
            let process = self.start_program("entry", &name, *ip, &values)?;
            self.entries.push(Entry { _process: process, http, readiness });
        }
        Ok(())
    }

    /// Adds a machine with an agent and an executor, which starts at once.
    pub fn add_side(&mut self, kind: Kind) -> Result<()> {
        let ip = self.next_ip();
        let number = self.sides.len() + 1;
        let app = SocketAddr::from((ip, APP_PORT));
        let control = SocketAddr::from((ip, CONTROL_PORT));
        let values = [
            ("{{service|json}}", format!("\"{}\"", kind.service)),
            ("{{app|json}}", format!("\"{app}\"")),
            ("{{listen.control_plane|json}}", format!("\"{control}\"")),
        ];
        let agent = self.start_program("agent", &format!("side-{number}"), ip, &values)?;
        let executor = Executor::new(&format!("i-{number}"), kind, app, control, &self.record);
        executor.boot().map_err(text)?;
        self.sides.push(Side { _agent: agent, executor });
        Ok(())
    }

    fn start_program(
        &self,
        role: &str,
        name: &str,
        ip: Ipv4Addr,
        values: &[(&str, String)],
    ) -> Result<Process> {
        let template = self.root.join("deploy").join(format!("{role}.template"));
        let mut settings = fs::read_to_string(&template).map_err(text)?;
        let seeds = fs::read_to_string(self.dir.join("seeds")).unwrap_or_default();
        let common = [
            ("{{node_name|json}}", format!("\"{name}\"")),
            ("{{zone|json}}", "\"zone-a\"".to_owned()),
            ("{{ip}}", ip.to_string()),
            ("{{port_range.0}}", RPC_PORT.to_string()),
            ("{{seeds|json}}", seeds),
            ("{{bounds.grace_s}}", "6".to_owned()),
            ("{{bounds.remote_factor}}", "1.5".to_owned()),
            ("{{bounds.resend_ms}}", "1300".to_owned()),
            ("{{bounds.hold_max_ms}}", "1000".to_owned()),
            ("{{bounds.stop_ms}}", "50".to_owned()),
        ];
        for (placeholder, value) in common.iter().chain(values) {
            settings = settings.replace(placeholder, value);
        }
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(text)?;
        let log = File::create(self.dir.join(format!("{name}.log"))).map_err(text)?;
        let program = self.root.join("target/release").join(format!("platform-{role}"));
        let mut command = Command::new(&program);
        // SAFETY: a system call without memory of this process
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .arg("--settings")
            .arg(&path)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(text)?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        self.record.line(&format!("{name} starts ({role} at {ip})"));
        Ok(Process { child })
    }

    /// Starts the heartbeats of all executors, and waits until every entry is ready.
    pub fn wait_ready(&self) -> Result<()> {
        // agents that have just started don't listen yet
        thread::sleep(Duration::from_millis(500));
        for side in &self.sides {
            side.executor.start_heartbeats();
        }
        let end = Instant::now() + START_LIMIT;
        for entry in &self.entries {
            while !entry.is_ready() {
                if Instant::now() > end {
                    return Err(format!("{} is not ready", entry.http));
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        // every entry has heard of every agent after a few heartbeats
        thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    /// Cancels a job, over a channel to an entry that may be reset before the entry reads it.
    pub fn cancel(&self, entry: usize, job: &Job, channel: Channel) -> Answer {
        let resetter = match channel {
            Channel::Whole => None,
            Channel::Reset => Resetter::start().ok(),
        };
        let to = resetter.as_ref().map_or(self.entries[entry].http, |r| r.address);
        let headers = [("host", job.host.to_owned())];
        let path = format!("{}{}", job.prefix, job.id);
        let wait = Duration::from_secs(2);
        let call = Call {
            to,
            method: "DELETE",
            path: &path,
            headers: &headers,
            body: String::new(),
            wait,
        };
        let answer = call.send();
        self.record.line(&format!("DELETE {path} to entry {entry}, {channel:?}: {answer:?}"));
        answer
    }

    /// Sends a job and waits for its answer.
    pub fn submit(&self, entry: usize, job: &Job) -> Answer {
        submit(&self.record, self.entries[entry].http, entry, job)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.sides.clear();
        self.store_server.stop();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Entry {
    fn is_ready(&self) -> bool {
        let headers = [("host", self.readiness.to_string())];
        let wait = Duration::from_millis(500);
        let path = "/readyz";
        let call = Call {
            to: self.readiness,
            method: "GET",
            path,
            headers: &headers,
            body: String::new(),
            wait,
        };
        call.send().status() == 200
    }
}

/// Whether a channel lasts until it was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    Whole,
    Reset,
}

/// Accepts one connection, and resets it once something was sent over it.
struct Resetter {
    address: SocketAddr,
}

impl Resetter {
    fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        thread::spawn(move || {
            let Ok((stream, _)) = listener.accept() else { return };
            // closing a connection with unread bytes resets it
            let _ = stream.peek(&mut [0]);
        });
        Ok(Self { address })
    }
}

/// A job of one step.
#[derive(Clone, Debug)]
pub struct Job {
    pub host: &'static str,
    pub prefix: &'static str,
    pub id: String,
    pub tasks: u64,
    pub cpu: u64,
    pub run_ms: u64,
    /// label that the executor must have; empty for none
    pub label: &'static str,
    pub wait: Duration,
}

pub fn submit(record: &Record, to: SocketAddr, entry: usize, job: &Job) -> Answer {
    let spec = format!("cpu={} run_ms={}", job.cpu, job.run_ms);
    let mut step = object([
        ("count", job.tasks.into()),
        ("cpu", job.cpu.into()),
        ("mem_mb", 64.into()),
        ("estimate_ms", job.run_ms.into()),
    ]);
    if let Json::Object(fields) = &mut step
        && !job.label.is_empty()
    {
        fields.insert("requirements".to_owned(), job.label.into());
    }
    let body =
        object([("spec", spec.into()), ("steps", vec![step].into()), ("best_effort", true.into())]);
    let headers =
        [("host", job.host.to_owned()), ("x-deadline-ms", job.wait.as_millis().to_string())];
    let path = format!("{}{}", job.prefix, job.id);
    record.line(&format!("POST {}{path} to entry {entry}: {body}", job.host));
    let call = Call {
        to,
        method: "POST",
        path: &path,
        headers: &headers,
        body: body.to_string(),
        wait: job.wait,
    };
    let answer = call.send();
    record.line(&format!("answer to {path} of entry {entry}: {answer:?}"));
    answer
}

pub fn job_id(number: u64) -> String {
    // spread over all digits, as ids that clients draw
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

pub fn configuration(version: u64, routes: &[Route]) -> String {
    let mut services: Vec<&str> = routes.iter().map(|r| r.service).collect();
    services.sort_unstable();
    services.dedup();
    let service = |name: &&str| {
        object([
            ("name", (*name).into()),
            ("health_path", "/healthz".into()),
            ("max_connections", 64.into()),
            ("protocol", "h1".into()),
            ("tls", false.into()),
            ("enforces_capacity", true.into()),
            ("standby", false.into()),
        ])
    };
    let route = |r: &Route| {
        object([
            ("name", r.name.into()),
            ("host", r.host.into()),
            ("path_prefix", r.prefix.into()),
            ("kind", "unsafe".into()),
            ("timeout_ms", 1500.into()),
            ("target_latency_ms", 60.into()),
            ("priority", r.priority.into()),
            ("service", r.service.into()),
            ("max_attempts", 4.into()),
            ("stretch", Json::Number(1.6)),
        ])
    };
    let document = object([
        ("version", version.into()),
        ("routes", routes.iter().map(route).collect::<Vec<_>>().into()),
        ("services", services.iter().map(service).collect::<Vec<_>>().into()),
        ("limits", object([("max_body_bytes", 262_144.into())])),
    ]);
    document.to_string()
}

fn seeds(ips: &[Ipv4Addr]) -> String {
    let addresses = ips.iter().take(3).map(|ip| format!("\"{ip}:{CONTROL_PORT}\""));
    format!("[{}]", addresses.collect::<Vec<_>>().join(","))
}

/// The second and third number of loopback addresses on which all ports are free.
fn free_network() -> Option<(u8, u8)> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    // cases that start together have different ids
    let seed = now ^ u64::from(std::process::id()) << 32;
    (0..50u64).find_map(|attempt| {
        let draw = seed.wrapping_add(attempt).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let network = (20 + (draw >> 56) as u8 % 200, (draw >> 40) as u8);
        let addresses = (1..=MAX_MACHINES).flat_map(|host| {
            PORTS.map(|port| {
                SocketAddr::from((Ipv4Addr::new(127, network.0, network.1, host), port))
            })
        });
        addresses.into_iter().all(|a| TcpListener::bind(a).is_ok()).then_some(network)
    })
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
