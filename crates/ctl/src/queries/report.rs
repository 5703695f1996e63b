use base::Utc;
use bpaf::{Parser, long};
use serde::{Deserialize, Serialize};

use super::format::{Format, Rows, yes_no};
use crate::{Result, client::Entry};

/// State of an entry that assigns tasks under leases.
#[derive(Serialize, Deserialize)]
struct Report {
    name: String,
    version: u64,
    ready: bool,
    agents: Vec<Agent>,
    jobs: Vec<Job>,
    /// absent in reports of earlier versions
    #[serde(default)]
    racks: Vec<Rack>,
    /// absent in reports of earlier versions
    #[serde(default)]
    drains: Vec<Drain>,
    /// absent in reports of earlier versions
    #[serde(default)]
    backlog: Vec<ClassBacklog>,
    /// absent in reports of earlier versions
    #[serde(default)]
    confined: Vec<ConfinedQueue>,
}

/// A rack and its pressure at the entry.
#[derive(Serialize, Deserialize)]
struct Rack {
    name: String,
    pressure: f64,
}

#[derive(Serialize, Deserialize)]
#[serde(transparent)]
struct Drains(Vec<Drain>);

/// A drained data centre and what still runs there.
#[derive(Serialize, Deserialize)]
struct Drain {
    centre: String,
    version: u64,
    since_ms: u64,
    agents: usize,
    busy_agents: usize,
    used_cpu: u64,
}

/// Jobs of one class that wait at an entry.
#[derive(Serialize, Deserialize)]
struct ClassBacklog {
    class: usize,
    jobs: usize,
    longest_wait_ms: u64,
}

/// A queue on few agents, because its jobs crash backend servers.
#[derive(Serialize, Deserialize)]
struct ConfinedQueue {
    service: String,
    queue: String,
    age_ms: u64,
    crashes: usize,
}

#[derive(Serialize, Deserialize)]
#[serde(transparent)]
struct ConfinedQueues(Vec<ConfinedQueue>);

#[derive(Serialize, Deserialize)]
#[serde(transparent)]
struct Backlog(Vec<ClassBacklog>);

#[derive(Serialize, Deserialize)]
struct Agent {
    name: String,
    service: String,
    /// absent in reports of earlier versions
    #[serde(default)]
    centre: String,
    incarnation: u64,
    version: u64,
    ready: bool,
    capacity_cpu: u32,
    free_cpu: u32,
    wait_ms: u64,
    slowness: f64,
    suspect: bool,
    /// absent in reports of earlier versions
    #[serde(default)]
    spare: bool,
    unheard_ms: u64,
}

#[derive(Serialize, Deserialize)]
#[serde(transparent)]
struct Racks(Vec<Rack>);

#[derive(Serialize, Deserialize)]
#[serde(transparent)]
struct Jobs(Vec<Job>);

#[derive(Serialize, Deserialize)]
struct Job {
    id: String,
    queue: String,
    started: bool,
    age_ms: u64,
}

impl Rows for Report {
    const TITLES: &'static [&'static str] = &[
        "PROCESS",
        "SERVICE",
        "READY",
        "VERSION",
        "CPU",
        "FREE",
        "WAIT_MS",
        "SLOWNESS",
        "SUSPECT",
        "SPARE",
        "UNHEARD_MS",
    ];

    fn rows(&self) -> Vec<Vec<String>> {
        let mut rows = vec![vec![self.name.clone(), "-".to_owned(), yes_no(self.ready).to_owned()]];
        if let Some(entry) = rows.first_mut() {
            entry.push(self.version.to_string());
            entry.extend(["-"; 7].map(str::to_owned));
        }
        rows.extend(self.agents.iter().map(|a| {
            vec![
                a.name.clone(),
                a.service.clone(),
                yes_no(a.ready).to_owned(),
                a.version.to_string(),
                a.capacity_cpu.to_string(),
                a.free_cpu.to_string(),
                a.wait_ms.to_string(),
                format!("{:.2}", a.slowness),
                yes_no(a.suspect).to_owned(),
                yes_no(a.spare).to_owned(),
                a.unheard_ms.to_string(),
            ]
        }));
        rows
    }
}

impl Rows for Racks {
    const TITLES: &'static [&'static str] = &["RACK", "PRESSURE"];

    fn rows(&self) -> Vec<Vec<String>> {
        self.0.iter().map(|r| vec![r.name.clone(), format!("{:.2}", r.pressure)]).collect()
    }
}

impl Rows for Backlog {
    const TITLES: &'static [&'static str] = &["CLASS", "WAITING", "LONGEST_MS"];

    fn rows(&self) -> Vec<Vec<String>> {
        let row = |b: &ClassBacklog| {
            vec![b.class.to_string(), b.jobs.to_string(), b.longest_wait_ms.to_string()]
        };
        self.0.iter().map(row).collect()
    }
}

impl Rows for Jobs {
    const TITLES: &'static [&'static str] = &["JOB", "QUEUE", "STARTED", "AGE_MS"];

    fn rows(&self) -> Vec<Vec<String>> {
        let row = |j: &Job| {
            vec![j.id.clone(), j.queue.clone(), yes_no(j.started).to_owned(), j.age_ms.to_string()]
        };
        self.0.iter().map(row).collect()
    }
}

impl Rows for Drains {
    const TITLES: &'static [&'static str] =
        &["CENTRE", "SINCE", "AGENTS", "BUSY", "USED_CPU", "VERSION"];

    fn rows(&self) -> Vec<Vec<String>> {
        let row = |d: &Drain| {
            let since = Utc(d.since_ms).to_string();
            let numbers = [d.agents as u64, d.busy_agents as u64, d.used_cpu, d.version];
            let numbers = numbers.map(|n| n.to_string());
            [d.centre.clone(), since].into_iter().chain(numbers).collect()
        };
        self.0.iter().map(row).collect()
    }
}

impl Rows for ConfinedQueues {
    const TITLES: &'static [&'static str] = &["SERVICE", "QUEUE", "AGE_MS", "CRASHES"];

    fn rows(&self) -> Vec<Vec<String>> {
        let row = |q: &ConfinedQueue| {
            let numbers = [q.age_ms.to_string(), q.crashes.to_string()];
            [q.service.clone(), q.queue.clone()].into_iter().chain(numbers).collect()
        };
        self.0.iter().map(row).collect()
    }
}

/// Which leased agents are listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentFilter {
    All,
    /// those with an older configuration than the entry
    Behind,
}

/// Parser of the `--behind` flag.
pub fn agent_filter() -> impl Parser<AgentFilter> {
    long("behind")
        .help("only agents with an older configuration than the entry")
        .flag(AgentFilter::Behind, AgentFilter::All)
}

/// Lists an entry and its leased agents, with the configuration version of each.
pub async fn leased(entry: &Entry, filter: AgentFilter, format: Format) -> Result<()> {
    let mut report = fetch_report(entry).await?;
    if filter == AgentFilter::Behind {
        report.agents.retain(|a| a.version < report.version);
    }
    format.print(&report)
}

/// Lists the jobs that wait at an entry by class, the most urgent class first.
pub async fn backlog(entry: &Entry, format: Format) -> Result<()> {
    format.print(&Backlog(fetch_report(entry).await?.backlog))
}

/// Lists the jobs in progress at an entry, oldest first.
pub async fn jobs(entry: &Entry, format: Format) -> Result<()> {
    let mut jobs = fetch_report(entry).await?.jobs;
    jobs.sort_by_key(|j| std::cmp::Reverse(j.age_ms));
    format.print(&Jobs(jobs))
}

/// Lists the racks with the highest pressure at an entry.
pub async fn racks(entry: &Entry, format: Format) -> Result<()> {
    let racks = fetch_report(entry).await?.racks;
    format.print(&Racks(racks))
}

/// Lists the drained data centres known to an entry, and what still runs there.
pub async fn drained(entry: &Entry, format: Format) -> Result<()> {
    format.print(&Drains(fetch_report(entry).await?.drains))
}

/// Lists the queues that an entry confines to few agents, and the crashes there since.
pub async fn confined(entry: &Entry, format: Format) -> Result<()> {
    format.print(&ConfinedQueues(fetch_report(entry).await?.confined))
}

async fn fetch_report(entry: &Entry) -> Result<Report> {
    entry.get("/admin/report").await?.json()
}
