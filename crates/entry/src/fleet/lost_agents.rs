use std::{collections::BTreeSet, sync::Arc, time::Duration};

use base::{Event, Name};
use tokio::time::sleep;

use super::Agents;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Logs each agent whose heartbeats have stopped, once per outage.
pub async fn log_lost_agents(agents: Arc<Agents>) {
    let mut logged: BTreeSet<Name> = BTreeSet::new();
    loop {
        let known = agents.all();
        logged.retain(|name| known.iter().any(|last| last.info.name == *name));
        for last in known {
            let name = last.info.name;
            if last.at.elapsed() <= agents.heartbeat_timeout() {
                logged.remove(&name);
            } else if logged.insert(name.clone()) {
                Event::AgentLost.log(format_args!("{name} at {}", last.info.address));
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}
