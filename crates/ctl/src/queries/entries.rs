use base::{Utc, now_ms};
use conf::EntryRow;
use futures::future::join_all;
use serde::{Deserialize, Serialize};

use super::format::{Format, Rows, yes_no};
use crate::{
    Result,
    client::{Entry, Fleet},
};

#[derive(Serialize)]
#[serde(transparent)]
struct Entries(Vec<EntryInfo>);

#[derive(Serialize)]
struct EntryInfo {
    name: String,
    http: String,
    rpc: String,
    seen_ms: u64,
    /// as the entry reports it; `None` if it doesn't answer
    #[serde(rename = "says", skip_serializing_if = "Option::is_none")]
    state: Option<EntryState>,
}

#[derive(Serialize, Deserialize)]
struct EntryState {
    version: u64,
    ready: bool,
    agents: usize,
}

impl Rows for Entries {
    const TITLES: &'static [&'static str] =
        &["ENTRY", "HTTP", "RPC", "LAST_ROW", "ANSWERS", "READY", "VERSION", "AGENTS"];

    fn rows(&self) -> Vec<Vec<String>> {
        let row = |e: &EntryInfo| {
            let seen = Utc(e.seen_ms).to_string();
            let mut row = vec![e.name.clone(), e.http.clone(), e.rpc.clone(), seen];
            let cells = match &e.state {
                Some(s) => ["yes", yes_no(s.ready), &s.version.to_string(), &s.agents.to_string()]
                    .map(str::to_owned),
                None => ["no", "-", "-", "-"].map(str::to_owned),
            };
            row.extend(cells);
            row
        };
        self.0.iter().map(row).collect()
    }
}

/// Lists the live entries of the platform's table, with the state that each reports.
pub async fn entries(fleet: &Fleet, entry: &Entry, format: Format) -> Result<()> {
    let rows = fleet.table().list(EntryRow::PREFIX).await?;
    let now = now_ms();
    let live = rows.iter().filter_map(|named| {
        let row: EntryRow = serde_json::from_str(&named.row.value).ok()?;
        row.is_live(now).then_some((named, row))
    });
    let infos = live.map(|(named, row)| async move {
        let client = entry.at(&format!("http://{}", row.http));
        let state = client.get("/admin/entry").await.and_then(|reply| reply.json());
        EntryInfo {
            name: named.key.trim_start_matches(EntryRow::PREFIX).to_owned(),
            http: row.http.to_string(),
            rpc: row.rpc.to_string(),
            seen_ms: row.seen_ms,
            state: state.ok(),
        }
    });
    format.print(&Entries(join_all(infos).await))
}
