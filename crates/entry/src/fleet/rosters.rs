use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use base::Name;
use platform_client::Table;
use roster::Roster;
use tokio::time::sleep;
use wire::{AgentInfo, LinkPool, read_roster};

use super::CurrentFleet;

/// The newest known roster of each service; revisions never go back.
#[derive(Default)]
pub struct Rosters {
    by_service: RwLock<BTreeMap<Name, Arc<Roster>>>,
}

impl Rosters {
    /// The roster of a service; an empty one when none is known.
    pub fn get(&self, service: &str) -> Arc<Roster> {
        let by_service = self.by_service.read().unwrap_or_else(PoisonError::into_inner);
        by_service.get(service).cloned().unwrap_or_default()
    }

    /// Adopts a roster if it is newer than the one known.
    pub fn offer(&self, service: &Name, roster: Roster) {
        let mut by_service = self.by_service.write().unwrap_or_else(PoisonError::into_inner);
        if by_service.get(service).is_none_or(|known| known.revision < roster.revision) {
            by_service.insert(service.clone(), Arc::new(roster));
        }
    }

    /// Reads the roster of every service from the table, once per poll interval.
    pub async fn poll_table(
        self: Arc<Self>,
        table: Rc<dyn Table>,
        fleet: Arc<CurrentFleet>,
        poll_interval: Duration,
    ) {
        loop {
            for service in fleet.get().fleet.services.keys() {
                self.read_row(&*table, service).await;
            }
            sleep(poll_interval).await;
        }
    }

    /// Fetches the roster from an agent that reported a newer epoch; works while
    /// the table is unavailable.
    pub async fn fetch(self: Arc<Self>, links: Rc<LinkPool>, agent: AgentInfo) {
        if let Ok(roster) = fetch_roster(&links, agent.address).await {
            self.offer(&agent.service, roster);
        }
    }

    async fn read_row(&self, table: &dyn Table, service: &Name) {
        let Ok(row) = table.get(&Roster::row_key(service)).await else { return };
        if let Ok(roster) = serde_json::from_str(&row.value) {
            self.offer(service, roster);
        }
    }
}

async fn fetch_roster(links: &LinkPool, agent: SocketAddr) -> wire::Result<Roster> {
    let link = links.get(agent).await?;
    let res = link.agent()?.roster_request().send().promise.await?;
    read_roster(res.get()?.get_document())
}
