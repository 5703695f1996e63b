use serde::{Deserialize, Serialize};

use super::format::{Format, Rows};
use crate::{Result, client::Entry};

#[derive(Serialize, Deserialize)]
#[serde(transparent)]
struct Agents(Vec<Agent>);

#[derive(Serialize, Deserialize)]
struct Agent {
    name: String,
    service: String,
    centre: String,
    rack: String,
    address: String,
    incarnation: u64,
    ready: bool,
    queued: u32,
    running: u32,
    slots: u32,
    version: u64,
    epoch: u64,
    unheard_ms: u64,
}

impl Rows for Agents {
    const TITLES: &'static [&'static str] = &[
        "AGENT",
        "SERVICE",
        "CENTRE",
        "RACK",
        "READY",
        "QUEUED",
        "RUNNING",
        "SLOTS",
        "VERSION",
        "UNHEARD_MS",
        "ADDRESS",
    ];

    fn rows(&self) -> Vec<Vec<String>> {
        let row = |a: &Agent| {
            let ready = if a.ready { "yes" } else { "no" };
            let numbers =
                [u64::from(a.queued), a.running.into(), a.slots.into(), a.version, a.unheard_ms];
            let mut row = [&a.name, &a.service, &a.centre, &a.rack].map(String::clone).to_vec();
            row.push(ready.to_owned());
            row.extend(numbers.map(|n| n.to_string()));
            row.push(a.address.clone());
            row
        };
        self.0.iter().map(row).collect()
    }
}

/// Lists the agents known to an entry, with the state that each reports.
pub async fn agents(entry: &Entry, format: Format) -> Result<()> {
    let agents: Agents = entry.get("/admin/agents").await?.json()?;
    format.print(&agents)
}
