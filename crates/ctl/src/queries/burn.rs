use std::{collections::BTreeMap, fs};

use base::{Name, Utc, now_ms};
use burn::{HOUR_MS, HourCounts, Objective, ProcessCounts, Report, Row};
use conf::{EntryProcess, EntryRow};
use futures::future::join_all;
use platform_client::{KeyedRow, ObjectStore};

use super::format::{Format, Rows};
use crate::{Error, Result, client::Fleet};

/// Hours that the report may touch: six whole ones and parts of two.
const HOURS: u64 = 7;

impl Rows for Report {
    const TITLES: &'static [&'static str] =
        &["SERVICE", "GOAL", "OBJECTIVE", "ANSWERS", "5_MIN", "1_H", "30_MIN", "6_H", "STATE"];

    fn rows(&self) -> Vec<Vec<String>> {
        self.rows.iter().map(cells).collect()
    }
}

fn cells(row: &Row) -> Vec<String> {
    let rate = |rate: Option<f64>| rate.map_or("-".to_owned(), |r| format!("{r:.2}"));
    vec![
        row.service.to_string(),
        row.goal.as_str().to_owned(),
        format!("{}%", row.objective_ppm as f64 / 1e4),
        row.answers.to_string(),
        rate(row.rates.minutes_5),
        rate(row.rates.hours_1),
        rate(row.rates.minutes_30),
        rate(row.rates.hours_6),
        row.state.as_str().to_owned(),
    ]
}

/// Reports how fast each service spends its error budget.
pub async fn burn(fleet: &Fleet, html: Option<&str>, format: Format) -> Result<()> {
    let document = fleet.read().await?.fleet;
    let now = now_ms();
    let rows = fleet.table().list(EntryRow::PREFIX).await?;
    let mut pasts = Vec::new();
    for row in &rows {
        pasts.extend(read_entry(fleet.objects(), row, now).await?);
    }
    let objective = |name: &Name| {
        let values = document.effective(name);
        Objective { timely_ppm: values.timely_ppm, honest_ppm: values.honest_ppm }
    };
    let objectives: BTreeMap<Name, Objective> =
        document.services.keys().map(|name| (name.clone(), objective(name))).collect();
    let report = Report::new(&pasts, objectives, now);
    if let Some(path) = html {
        let page = burn::html_page(&report).map_err(|e| Error::Report(e.to_string()))?;
        fs::write(path, page).map_err(|why| Error::File { path: path.to_owned(), why })?;
    }
    format.print(&report)?;
    if format == Format::Table {
        for gap in &report.missing {
            println!("missing: {} from {} to {}", gap.entry, Utc(gap.from_ms), Utc(gap.to_ms));
        }
    }
    Ok(())
}

/// What the processes of one entry left in the object store.
async fn read_entry(
    objects: &dyn ObjectStore,
    named: &KeyedRow,
    now: u64,
) -> Result<Vec<ProcessCounts>> {
    let Ok(row) = serde_json::from_str::<EntryRow>(&named.row.value) else {
        return Ok(Vec::new());
    };
    let entry: Name = named.key.trim_start_matches(EntryRow::PREFIX).into();
    let recent = now.saturating_sub((HOURS + 1) * HOUR_MS);
    let mut pasts = Vec::new();
    for (i, life) in row.processes.iter().enumerate() {
        let end = row.processes.get(i + 1).map_or(now, |next| next.started_ms);
        if end < recent {
            continue;
        }
        let chunks = read_life(objects, &entry, life, now).await?;
        pasts.push(ProcessCounts {
            entry: entry.clone(),
            started_ms: life.started_ms,
            hours: chunks,
        });
    }
    Ok(pasts)
}

async fn read_life(
    objects: &dyn ObjectStore,
    entry: &str,
    life: &EntryProcess,
    now: u64,
) -> Result<Vec<HourCounts>> {
    let last = now / HOUR_MS;
    let first = (life.started_ms / HOUR_MS).max(last.saturating_sub(HOURS));
    let names: Vec<_> =
        (first..=last).map(|hour| HourCounts::object_name(entry, life.incarnation, hour)).collect();
    let mut chunks = Vec::new();
    for found in join_all(names.iter().map(|name| objects.load(name))).await {
        if let Some(text) = found? {
            chunks.push(HourCounts::parse(&text).map_err(|e| Error::Report(e.to_string()))?);
        }
    }
    Ok(chunks)
}
