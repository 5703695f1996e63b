use std::{collections::BTreeSet, sync::Arc, time::Duration};

use base::{Event, Name};
use tokio::time::sleep;

use super::Agents;

const LOOK: Duration = Duration::from_millis(500);

/// Tells once of each agent that is no longer heard.
pub async fn watch_silence(agents: Arc<Agents>) {
    let mut told: BTreeSet<Name> = BTreeSet::new();
    loop {
        for seen in agents.all() {
            let name = seen.info.name;
            if seen.at.elapsed() <= agents.silence() {
                told.remove(&name);
            } else if told.insert(name.clone()) {
                Event::AgentLost.log(format_args!("{name} at {}", seen.info.address));
            }
        }
        sleep(LOOK).await;
    }
}
