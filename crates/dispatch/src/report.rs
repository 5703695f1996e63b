use base::Name;
use serde::Serialize;

use crate::ConfinedQueue;

/// Status of an entry for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub name: Name,
    /// version of the configuration in force here
    pub version: u64,
    pub ready: bool,
    pub agents: Vec<AgentReport>,
    pub jobs: Vec<JobReport>,
    /// racks with the highest pressure, highest first
    pub racks: Vec<RackReport>,
    /// drained data centres
    pub drains: Vec<DrainReport>,
    /// jobs that wait, by class
    pub backlog: Vec<BacklogReport>,
    /// queues that run on few agents only
    pub confined: Vec<ConfinedQueue>,
}

/// Pressure of a rack at an entry.
#[derive(Clone, Debug, Serialize)]
pub struct RackReport {
    pub name: Name,
    /// share of the demand divided by share of the capacity
    pub pressure: f64,
}

/// A drained data centre, and what still runs there by the newest reports of its
/// agents to this entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DrainReport {
    pub centre: Name,
    /// version of the operators' row
    pub version: u64,
    /// when an entry first saw that row, Unix time
    pub since_ms: u64,
    /// agents of the data centre that this entry knows
    pub agents: usize,
    /// agents whose backend servers have runs
    pub busy_agents: usize,
    /// capacity that these runs use, millicores
    pub used_cpu: u64,
}

/// Jobs of one class that wait for capacity.
#[derive(Clone, Debug, Serialize)]
pub struct BacklogReport {
    pub class: usize,
    pub jobs: usize,
    pub longest_wait_ms: u64,
}

/// Status of an agent by its newest heartbeat or reply.
#[derive(Clone, Debug, Serialize)]
pub struct AgentReport {
    pub name: Name,
    pub service: Name,
    pub centre: Name,
    pub incarnation: u64,
    /// version of the configuration in force there
    pub version: u64,
    pub ready: bool,
    /// millicores
    pub capacity_cpu: u32,
    pub free_cpu: u32,
    /// expected wait of one more task
    pub wait_ms: u64,
    /// ratio of run times to estimates
    pub slowness: f64,
    /// runs on its backend server fail or stall
    pub suspect: bool,
    /// the entry has enough other agents
    #[serde(rename = "spare")]
    pub surplus: bool,
    /// time since the newest heartbeat
    #[serde(rename = "unheard_ms")]
    pub since_heartbeat_ms: u64,
}

/// A job in progress.
#[derive(Clone, Debug, Serialize)]
pub struct JobReport {
    pub id: Name,
    pub queue: Name,
    /// an agent reported that a task started; most report only at the end
    pub started: bool,
    pub age_ms: u64,
}
