use std::{collections::BTreeSet, sync::Arc, time::Duration};

use base::{Event, Name};
use tokio::time::sleep;

use super::Agents;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Tells once of each agent that is no longer heard.
pub async fn log_lost_agents(agents: Arc<Agents>) {
    let mut told: BTreeSet<Name> = BTreeSet::new();
    loop {
        for seen in agents.all() {
            let name = seen.info.name;
            if seen.at.elapsed() <= agents.heartbeat_timeout() {
                told.remove(&name);
            } else if told.insert(name.clone()) {
                Event::AgentLost.log(format_args!("{name} at {}", seen.info.address));
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}
