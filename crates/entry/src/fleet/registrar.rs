use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Name, now_ms};
use conf::{EntryProcess, EntryRow};
use platform_client::{Availability, Error, Result, Table, Version};
use tokio::time::sleep;

use super::EntryList;

const REFRESH_INTERVAL: Duration = Duration::from_millis(EntryRow::REFRESH_INTERVAL_MS);
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Name and addresses of an entry.
#[derive(Clone, Debug)]
pub struct Endpoints {
    pub name: Name,
    pub http: SocketAddr,
    pub rpc: SocketAddr,
}

/// Refreshes this entry's row in the platform's table and reads those of the
/// other entries.
pub struct Registrar {
    table: Rc<dyn Table>,
    entries: Arc<EntryList>,
    name: Name,
    row: EntryRow,
    process: EntryProcess,
    version: Version,
    written_at: Option<Instant>,
}

impl Registrar {
    pub fn new(
        table: Rc<dyn Table>,
        entries: Arc<EntryList>,
        endpoints: Endpoints,
        incarnation: u64,
    ) -> Self {
        let row = EntryRow {
            http: endpoints.http,
            rpc: endpoints.rpc,
            seen_ms: 0,
            processes: Vec::new(),
        };
        let process = EntryProcess { incarnation, started_ms: now_ms() };
        Self { table, entries, name: endpoints.name, row, process, version: 0, written_at: None }
    }

    pub async fn run(mut self) {
        let mut availability = Availability::new("rows of entries");
        loop {
            // the last known entries stay in use during an outage
            availability.record(&self.refresh().await);
            sleep(LIST_INTERVAL).await;
        }
    }

    async fn refresh(&mut self) -> Result<()> {
        let mut written = Ok(());
        if self.written_at.is_none_or(|at| at.elapsed() >= REFRESH_INTERVAL) {
            written = self.write().await;
            if written.is_ok() {
                self.written_at = Some(Instant::now());
            }
        }
        // a table that takes no writes may still serve reads
        self.list().await.and(written)
    }

    async fn write(&mut self) -> Result<()> {
        if self.written_at.is_none() {
            self.adopt_row().await?;
        }
        self.row.seen_ms = now_ms();
        let value =
            serde_json::to_string(&self.row).map_err(|e| Error::Malformed(e.to_string()))?;
        match self.table.put(&EntryRow::key(&self.name), self.version, value).await {
            Ok(version) => self.version = version,
            // a lost reply or another entry with this name: retried by the next write
            Err(Error::Conflict(row)) => self.version = row.version,
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// Takes over the version and the process list of the row that an earlier
    /// process of this entry wrote.
    async fn adopt_row(&mut self) -> Result<()> {
        let row = self.table.get(&EntryRow::key(&self.name)).await?;
        self.version = row.version;
        if let Ok(earlier) = serde_json::from_str::<EntryRow>(&row.value) {
            self.row.processes = earlier.processes;
        }
        self.row.add_process(self.process.clone());
        Ok(())
    }

    async fn list(&self) -> Result<()> {
        let rows = self.table.list(EntryRow::PREFIX).await?;
        let now = now_ms();
        let rows = rows.iter().filter_map(|r| serde_json::from_str::<EntryRow>(&r.row.value).ok());
        self.entries.replace(rows.filter(|r| r.is_live(now)).map(|r| r.rpc).collect());
        Ok(())
    }
}
