use std::{collections::BTreeMap, fs, path::PathBuf, time::Duration};

use awc::Client;
use serde_json::{Value, json};
use standin::backend::Start;
use tokio::time::sleep;

use crate::{
    process::{Process, free_port},
    tool::{Tool, ToolOutput},
};

const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_READY_POLLS: u32 = 200;
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The platform, entries, agents and their backend servers, all on loopback.
pub struct Deployment {
    pub platform: Process,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub backends: Vec<Process>,
    pub platform_port: u16,
    pub entry_ports: Vec<u16>,
    pub entry_rpc_ports: Vec<u16>,
    pub agent_ports: Vec<u16>,
    pub agent_rpc_ports: Vec<u16>,
    pub backend_ports: Vec<u16>,
    folder: PathBuf,
}

/// Response of an entry; status 0 if there was none.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Value,
}

impl Response {
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or("none")
    }
}

impl Deployment {
    /// Starts all processes and waits until the entries know the agents.
    pub async fn start(entries: usize, agents: usize) -> Self {
        let ports = |n| (0..n).map(|_| free_port()).collect::<Vec<_>>();
        let platform_port = free_port();
        let listen = vec!["--listen".to_owned(), format!("127.0.0.1:{platform_port}")];
        let folder = std::env::temp_dir().join(format!("egret-proof-{platform_port}"));
        fs::create_dir_all(&folder).expect("folder can be made");
        let mut it = Self {
            platform: Process::start("standin-platform", &listen),
            entries: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            platform_port,
            entry_ports: ports(entries),
            entry_rpc_ports: ports(entries),
            agent_ports: ports(agents),
            agent_rpc_ports: ports(agents),
            backend_ports: ports(agents),
            folder,
        };
        it.wait_for(&format!("http://127.0.0.1:{platform_port}/admin/stats")).await;
        it.write_fleet_config().await;
        for i in 0..entries {
            let entry = it.start_entry(i);
            it.entries.push(entry);
        }
        for i in 0..agents {
            let agent = it.start_agent(i);
            it.agents.push(agent);
            let backend = it.start_backend(i, 1.0);
            it.backends.push(backend);
        }
        it.wait_ready().await;
        it
    }

    /// Token of this deployment only: a process of another run that still dials
    /// a port it used before is rejected.
    pub fn token(&self) -> String {
        format!("proof-{}-{}", std::process::id(), self.platform_port)
    }

    pub fn start_entry(&self, i: usize) -> Process {
        let settings = json!({
            "name": format!("entry-{i}"),
            "http": format!("127.0.0.1:{}", self.entry_ports[i]),
            "rpc": format!("127.0.0.1:{}", self.entry_rpc_ports[i]),
            "platform": format!("http://127.0.0.1:{}", self.platform_port),
            "token": self.token(),
            "poll_ms": 200,
            "warm_ms": 400,
            "unready_ms": 100,
            "counts_ms": 1000,
        });
        self.start_with("egret-entry", &format!("entry-{i}"), &settings)
    }

    pub fn start_agent(&self, i: usize) -> Process {
        let entries: Vec<_> =
            self.entry_rpc_ports.iter().map(|p| format!("127.0.0.1:{p}")).collect();
        let settings = json!({
            "name": format!("agent-{i}"),
            "service": "ledger",
            "rack": format!("rack-{}", i / 3),
            "http": format!("127.0.0.1:{}", self.agent_ports[i]),
            "rpc": format!("127.0.0.1:{}", self.agent_rpc_ports[i]),
            "entries": entries,
            "platform": format!("http://127.0.0.1:{}", self.platform_port),
            "token": self.token(),
            "beat_ms": 100,
            "heartbeat_ms": 150,
            "lease_ms": 1000,
            "suspect_ms": 800,
        });
        self.start_with("egret-agent", &format!("agent-{i}"), &settings)
    }

    pub fn start_backend(&self, i: usize, speed: f64) -> Process {
        let args = [
            "--listen".to_owned(),
            format!("127.0.0.1:{}", self.backend_ports[i]),
            "--agent".to_owned(),
            format!("http://127.0.0.1:{}", self.agent_ports[i]),
            "--speed".to_owned(),
            speed.to_string(),
        ];
        Process::start("standin-backend", &args)
    }

    /// Submits a request or a job through an entry.
    pub async fn send(&self, entry: usize, kind: &str, body: &Value) -> Response {
        send(self.entry_ports[entry], kind, body).await
    }

    /// Queries the status of a key.
    pub async fn status(&self, entry: usize, key: &str) -> Response {
        let port = self.entry_ports[entry];
        let url = format!("http://127.0.0.1:{port}/v1/ledger/status?team=coop&key={key}");
        let body = fetch(&url).await.unwrap_or_default();
        Response { status: 200, body: serde_json::from_slice(&body).unwrap_or(Value::Null) }
    }

    /// Starts `egretctl` against the platform and an entry.
    pub fn start_ctl(&self, entry: usize, args: &[&str]) -> Tool {
        let mut all = vec![
            format!("--platform=http://127.0.0.1:{}", self.platform_port),
            format!("--entry=http://127.0.0.1:{}", self.entry_ports[entry]),
            format!("--token={}", self.token()),
        ];
        all.extend(args.iter().map(|a| (*a).to_owned()));
        Tool::start(&all)
    }

    /// Runs `egretctl` until it exits.
    pub fn run_ctl(&self, args: &[&str]) -> ToolOutput {
        self.start_ctl(0, args).finish()
    }

    /// Sets the faults of the platform; those left out end.
    pub async fn set_faults(&self, faults: &Value) {
        let url = format!("http://127.0.0.1:{}/admin/faults", self.platform_port);
        Client::default().put(url).send_json(faults).await.expect("platform accepts faults");
    }

    /// Version of the configuration in force in each entry, then in each agent;
    /// `None` for a process that doesn't answer.
    pub async fn config_versions(&self) -> Vec<Option<u64>> {
        let mut versions = Vec::new();
        for port in self.entry_ports.iter().chain(&self.agent_ports) {
            let url = format!("http://127.0.0.1:{port}/metrics");
            let page = fetch_within(&url, Duration::from_millis(200)).await.unwrap_or_default();
            versions.push(metric(&String::from_utf8_lossy(&page), "egret_configuration_version"));
        }
        versions
    }

    /// Reads a metric of an entry or agent.
    pub async fn metric(&self, port: u16, name: &str) -> Option<u64> {
        let page = fetch(&format!("http://127.0.0.1:{port}/metrics")).await?;
        metric(&String::from_utf8_lossy(&page), name)
    }

    /// Starts one more entry, which is in no agent's settings.
    pub fn add_entry(&mut self) {
        self.entry_ports.push(free_port());
        self.entry_rpc_ports.push(free_port());
        let entry = self.start_entry(self.entries.len());
        self.entries.push(entry);
    }

    /// Writes a row of the platform's table if it has the expected version.
    pub async fn write_row(&self, key: &str, expected: u64, value: &str) {
        let url = format!("http://127.0.0.1:{}/tables/egret/{key}", self.platform_port);
        let req = Client::default().put(url).insert_header(("if-match", expected.to_string()));
        let res = req.send_body(value.to_owned()).await.expect("platform answers");
        assert!(res.status().is_success(), "row {key} is not at version {expected}");
    }

    /// Number of starts of each task, over all backend servers that answer.
    pub async fn starts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for i in 0..self.backend_ports.len() {
            for start in self.starts_at(i).await {
                let id = format!("{}/{}/{}", start.team, start.key, start.index);
                *counts.entry(id).or_default() += 1;
            }
        }
        counts
    }

    /// The start log of one backend server; empty when it doesn't answer.
    pub async fn starts_at(&self, i: usize) -> Vec<Start> {
        self.try_starts_at(i).await.unwrap_or_default()
    }

    /// The start log of one backend server; `None` when it doesn't answer.
    pub async fn try_starts_at(&self, i: usize) -> Option<Vec<Start>> {
        let url = format!("http://127.0.0.1:{}/admin/starts", self.backend_ports[i]);
        let bytes = fetch(&url).await?;
        Some(serde_json::from_slice(&bytes).expect("starts can be read"))
    }

    /// Waits until every agent and entry is ready.
    pub async fn wait_ready(&self) {
        for port in self.agent_ports.iter().chain(&self.entry_ports) {
            self.wait_for(&format!("http://127.0.0.1:{port}/readyz")).await;
        }
        // entries learn that agents are ready by the next heartbeat
        sleep(Duration::from_millis(300)).await;
    }

    pub async fn wait_for(&self, url: &str) {
        for _ in 0..MAX_READY_POLLS {
            if fetch(url).await.is_some() {
                return;
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        panic!("{url} never returned 200");
    }

    async fn write_fleet_config(&self) {
        let fleet = json!({ "services": { "ledger": { "teams": { "coop": {}, "mill": {} } } } });
        self.write_row("fleet", 0, &fleet.to_string()).await;
    }

    fn start_with(&self, program: &str, name: &str, settings: &Value) -> Process {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("settings are written");
        Process::start(program, &["--settings".to_owned(), path.display().to_string()])
    }
}

/// Submits a request or a job to an entry's port.
pub async fn send(port: u16, kind: &str, body: &Value) -> Response {
    let url = format!("http://127.0.0.1:{port}/v1/ledger/{kind}");
    let client = Client::builder().timeout(CALL_TIMEOUT).finish();
    match client.post(url).send_json(body).await {
        Ok(mut res) => {
            let status = res.status().as_u16();
            let bytes = res.body().limit(16 << 20).await.unwrap_or_default();
            Response { status, body: serde_json::from_slice(&bytes).unwrap_or(Value::Null) }
        }
        Err(_) => Response { status: 0, body: Value::Null },
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// First value of a metric on a metrics page, with any labels.
fn metric(page: &str, name: &str) -> Option<u64> {
    let line = page.lines().find(|l| l.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

async fn fetch(url: &str) -> Option<Vec<u8>> {
    fetch_within(url, Duration::from_secs(5)).await
}

async fn fetch_within(url: &str, timeout: Duration) -> Option<Vec<u8>> {
    let client = Client::builder().timeout(timeout).finish();
    let mut res = client.get(url).send().await.ok()?;
    if !res.status().is_success() {
        return None;
    }
    Some(res.body().limit(64 << 20).await.ok()?.to_vec())
}
