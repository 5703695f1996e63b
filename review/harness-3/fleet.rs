//! A small deployment: entries and agents as processes, beside the stand-ins.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    executor::Executor,
    http::{self, Call},
    record::Record,
    store::Store,
};

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/orders/";
/// The programs that the deploy file starts.
const ENTRY: &str = "target/release/platform-entry";
const AGENT: &str = "target/release/platform-agent";
const START_TIME: Duration = Duration::from_secs(20);

pub struct Fleet {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub executors: Vec<Arc<Executor>>,
    pub entries: Vec<Entry>,
    agents: Vec<Agent>,
    dir: PathBuf,
}

pub struct Entry {
    pub http: SocketAddr,
    health: SocketAddr,
    process: Child,
}

struct Agent {
    settings: PathBuf,
    process: Child,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("an address")
}

/// A configuration with these routes, each a name and a prefix.
pub fn config(version: u64, routes: &[(&str, &str)]) -> String {
    let route = |(name, prefix): &(&str, &str)| {
        format!(
            concat!(
                r#"{{"name":"{}","host":"{}","path_prefix":"{}","kind":"unsafe","timeout_ms":1500,"#,
                r#""target_latency_ms":60,"priority":0,"service":"svc","max_attempts":4,"stretch":1.6}}"#
            ),
            name, HOST, prefix
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let routes = routes.join(",");
    let service = r#"{"name":"svc","enforces_capacity":true}"#;
    format!(r#"{{"version":{version},"routes":[{routes}],"services":[{service}],"limits":{{}}}}"#)
}

impl Fleet {
    /// Starts all processes and waits until every entry is ready.
    pub fn start(entries: usize, agents: usize, slots: usize) -> Result<Self, String> {
        let record = Arc::new(Record::new());
        let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let store = Store::start();
        store.put("config", &config(1, &[("r-orders", PREFIX)]));
        let mut fleet = Self {
            store,
            record,
            executors: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            dir,
        };
        let rpcs: Vec<SocketAddr> = (0..entries).map(|_| free_address()).collect();
        let list: Vec<String> = rpcs.iter().map(|a| format!(r#""{a}""#)).collect();
        let list = list.join(",");
        for (i, rpc) in rpcs.iter().enumerate() {
            fleet.add_entry(i, *rpc, &list)?;
        }
        for i in 0..agents {
            fleet.add_agent(i, slots, &list)?;
        }
        fleet.wait_ready(agents)?;
        Ok(fleet)
    }

    fn add_entry(&mut self, i: usize, rpc: SocketAddr, list: &str) -> Result<(), String> {
        let (http, health, metrics) = (free_address(), free_address(), free_address());
        let text = format!(
            concat!(
                r#"{{"name":"frontend-z1-{}","centre":"z1","http":"{}","health":"{}","metrics":"{}","#,
                r#""rpc":"{}","entries":[{}],"platform":"http://{}","token":"review","#,
                r#""body_bytes":262144,"grace_s":6,"far_factor":1.5,"#,
                r#""lease":{{"resend_ms":1300,"hold_ms":1000,"stop_ms":50}}}}"#
            ),
            i, http, health, metrics, rpc, list, self.store.address
        );
        let name = format!("entry-{i}");
        let settings = self.write_settings(&name, &text)?;
        let process = self.start_program(ENTRY, &name, &settings)?;
        self.entries.push(Entry { http, health, process });
        Ok(())
    }

    fn add_agent(&mut self, i: usize, slots: usize, list: &str) -> Result<(), String> {
        let name = format!("{i}");
        let executor = Executor::start(&name, slots, self.record.clone(), i as u64);
        let (http, metrics) = (free_address(), free_address());
        let text = format!(
            concat!(
                r#"{{"name":"side-z1-{}","service":"svc","centre":"z1","http":"{}","metrics":"{}","#,
                r#""backend":"{}","entries":[{}],"token":"review","grace_s":6,"#,
                r#""lease":{{"resend_ms":1300,"hold_ms":1000,"stop_ms":50}}}}"#
            ),
            i, http, metrics, executor.address, list
        );
        let name = format!("agent-{i}");
        let settings = self.write_settings(&name, &text)?;
        let process = self.start_program(AGENT, &name, &settings)?;
        executor.beat(http);
        self.executors.push(executor);
        self.agents.push(Agent { settings, process });
        Ok(())
    }

    fn write_settings(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, text).map_err(|e| e.to_string())?;
        Ok(path)
    }

    fn start_program(
        &self,
        program: &str,
        name: &str,
        settings: &PathBuf,
    ) -> Result<Child, String> {
        let log = File::options().create(true).append(true).open(self.dir.join(name));
        let log = log.map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.arg("--settings").arg(settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        command.spawn().map_err(|e| format!("{program}: {e}"))
    }

    fn wait_ready(&self, agents: usize) -> Result<(), String> {
        let end = Instant::now() + START_TIME;
        for (i, entry) in self.entries.iter().enumerate() {
            let (path, host, headers) = ("/readyz", "entry", String::new());
            let wait = Duration::from_secs(1);
            let call = Call { method: "GET", path, host, headers, body: "", wait };
            while http::call(entry.health, &call).is_none_or(|(status, _)| status != 200) {
                if Instant::now() > end {
                    return Err(format!("entry {i} is not ready"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // each agent reports to each entry every 272 ms
        thread::sleep(Duration::from_millis(1500 + 10 * agents as u64));
        Ok(())
    }

    /// Kills an agent.
    pub fn kill_agent(&mut self, i: usize) -> Result<(), String> {
        let process = &mut self.agents[i].process;
        process.kill().and_then(|()| process.wait()).map_err(|e| e.to_string())?;
        self.record.note(format!("agent {i} is killed"));
        Ok(())
    }

    /// Starts an agent that was killed.
    pub fn start_agent(&mut self, i: usize) -> Result<(), String> {
        let settings = self.agents[i].settings.clone();
        self.agents[i].process = self.start_program(AGENT, &format!("agent-{i}"), &settings)?;
        self.record.note(format!("agent {i} is started"));
        Ok(())
    }

    /// Calls an entry as a client, and records the call and its answer.
    pub fn call(
        record: &Record,
        entry: (usize, SocketAddr),
        method: &str,
        path: &str,
        body: &str,
        wait: Duration,
    ) -> Option<(u16, String)> {
        let (i, address) = entry;
        record.note(format!("{method} {path} sent to entry {i}"));
        let headers = format!("X-Deadline-Ms: {}\r\n", wait.as_millis());
        let call = Call { method, path, host: HOST, headers, body, wait };
        let answer = http::call(address, &call);
        let text = answer.as_ref().map_or("no answer".to_owned(), |(s, b)| format!("{s} {b}"));
        record.note(format!("{method} {path} at entry {i}: {text}"));
        answer
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let entries = self.entries.iter_mut().map(|e| &mut e.process);
        for process in entries.chain(self.agents.iter_mut().map(|a| &mut a.process)) {
            // it may have ended
            let _ = process.kill();
            let _ = process.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
