use serde::{Deserialize, Serialize};

use crate::{Result, client::Entry};

/// Which way a drain is switched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    On,
    Off,
}

#[derive(Serialize)]
struct Order {
    on: bool,
}

/// How the agent stands after the switch.
#[derive(Debug, Deserialize)]
struct Load {
    ready: bool,
    queued: u32,
    running: u32,
}

/// Lets an agent take no new work, or take it again.
pub async fn drain(entry: &Entry, agent: &str, turn: Turn) -> Result<String> {
    let order = Order { on: turn == Turn::On };
    let reply = entry.post(&format!("/admin/agents/{agent}/drain"), &order).await?;
    let load: Load = reply.json()?;
    let takes = if load.ready { "takes new work" } else { "takes no new work" };
    Ok(format!("{agent} {takes}; {} queued, {} running", load.queued, load.running))
}
