use serde::{Deserialize, Serialize};

use crate::{Result, client::Entry};

/// Whether to drain an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainSwitch {
    On,
    Off,
}

#[derive(Serialize)]
struct DrainBody {
    on: bool,
}

/// Load of the agent after the switch.
#[derive(Debug, Deserialize)]
struct Load {
    ready: bool,
    queued: u32,
    running: u32,
}

/// Stops an agent from accepting new work, or lets it accept work again.
pub async fn drain(entry: &Entry, agent: &str, switch: DrainSwitch) -> Result<String> {
    let body = DrainBody { on: switch == DrainSwitch::On };
    let reply = entry.post(&format!("/admin/agents/{agent}/drain"), &body).await?;
    let load: Load = reply.json()?;
    let takes = if load.ready { "takes new work" } else { "takes no new work" };
    Ok(format!("{agent} {takes}; {} queued, {} running", load.queued, load.running))
}
