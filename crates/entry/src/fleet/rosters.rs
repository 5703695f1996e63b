use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use base::Name;
use plat::Table;
use roster::Roster;
use tokio::time::sleep;
use wire::{AgentInfo, LinkPool, read_roster};

use super::CurrentFleet;

/// The rosters this entry knows, one a service; an epoch never falls.
#[derive(Default)]
pub struct Rosters {
    known: RwLock<BTreeMap<Name, Arc<Roster>>>,
}

impl Rosters {
    /// The roster of a service; an empty one when none is known.
    pub fn get(&self, service: &str) -> Arc<Roster> {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        known.get(service).cloned().unwrap_or_default()
    }

    /// Takes a newer document; an older one is left aside.
    pub fn offer(&self, service: &Name, roster: Roster) {
        if self.get(service).revision >= roster.revision {
            return;
        }
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        known.insert(service.clone(), Arc::new(roster));
    }

    /// Reads the row of every service at every poll.
    pub async fn poll_table(
        self: Arc<Self>,
        table: Rc<dyn Table>,
        fleet: Arc<CurrentFleet>,
        poll: Duration,
    ) {
        loop {
            for service in fleet.get().fleet.services.keys() {
                self.read_row(&*table, service).await;
            }
            sleep(poll).await;
        }
    }

    /// Asks an agent that knows a newer roster, as when the table is down.
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
