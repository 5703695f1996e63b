use std::{collections::BTreeMap, fs};

use base::{Name, Utc, now_ms};
use burn::{HOUR_MS, HourCounts, Objective, ProcessCounts, Report, Row};
use conf::{EntryProcess, EntryRow};
use futures::future::join_all;
use platform_client::{KeyedRow, ObjectStore};

use super::format::{Format, Rows};
use crate::{Error, Result, client::Fleet};

/// Past hours that the report reads beside the current one: the window of six
/// hours may touch six whole clock hours and parts of two.
const PAST_HOURS: u64 = 7;

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

/// Reports the error budget burn rate of each service.
pub async fn burn(fleet: &Fleet, html: Option<&str>, format: Format) -> Result<()> {
    let document = fleet.read().await?.fleet;
    let now = now_ms();
    let rows = fleet.table().list(EntryRow::PREFIX).await?;
    let mut processes = Vec::new();
    for row in &rows {
        processes.extend(read_entry(fleet.objects(), row, now).await?);
    }
    let objective = |name: &Name| {
        let values = document.effective(name);
        Objective { timely_ppm: values.timely_ppm, honest_ppm: values.honest_ppm }
    };
    let objectives: BTreeMap<Name, Objective> =
        document.services.keys().map(|name| (name.clone(), objective(name))).collect();
    let report = Report::new(&processes, objectives, now);
    if let Some(path) = html {
        let page = burn::html_page(&report).map_err(|e| Error::Report(e.to_string()))?;
        fs::write(path, page).map_err(|error| Error::File { path: path.to_owned(), error })?;
    }
    format.print(&report)?;
    if format == Format::Table {
        for gap in &report.missing {
            println!("missing: {} from {} to {}", gap.entry, Utc(gap.from_ms), Utc(gap.to_ms));
        }
    }
    Ok(())
}

/// Counts that the processes of one entry wrote to the object store.
async fn read_entry(
    objects: &dyn ObjectStore,
    named: &KeyedRow,
    now: u64,
) -> Result<Vec<ProcessCounts>> {
    let Ok(row) = serde_json::from_str::<EntryRow>(&named.row.value) else {
        return Ok(Vec::new());
    };
    let entry: Name = named.key.trim_start_matches(EntryRow::PREFIX).into();
    let recent = now.saturating_sub((PAST_HOURS + 1) * HOUR_MS);
    let mut processes = Vec::new();
    for (i, process) in row.processes.iter().enumerate() {
        let end = row.processes.get(i + 1).map_or(now, |next| next.started_ms);
        if end < recent {
            continue;
        }
        let hours = read_process(objects, &entry, process, now).await?;
        processes.push(ProcessCounts {
            entry: entry.clone(),
            started_ms: process.started_ms,
            hours,
        });
    }
    Ok(processes)
}

async fn read_process(
    objects: &dyn ObjectStore,
    entry: &str,
    process: &EntryProcess,
    now: u64,
) -> Result<Vec<HourCounts>> {
    let last = now / HOUR_MS;
    let first = (process.started_ms / HOUR_MS).max(last.saturating_sub(PAST_HOURS));
    let names: Vec<_> = (first..=last)
        .map(|hour| HourCounts::object_name(entry, process.incarnation, hour))
        .collect();
    let mut hours = Vec::new();
    for object in join_all(names.iter().map(|name| objects.load(name))).await {
        if let Some(text) = object? {
            hours.push(HourCounts::parse(&text).map_err(|e| Error::Report(e.to_string()))?);
        }
    }
    Ok(hours)
}
