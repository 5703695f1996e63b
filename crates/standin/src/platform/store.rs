use std::collections::BTreeMap;

use serde::Serialize;

use super::faults::Faults;

/// One version of a row.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    pub version: u64,
    pub value: String,
}

/// A row with its key.
#[derive(Clone, Debug, Serialize)]
pub struct KeyedRow {
    pub key: String,
    #[serde(flatten)]
    pub row: Row,
}

/// Result of a compare-and-set.
pub enum PutResult {
    Written(Row),
    Conflict(Row),
}

/// Rows, objects, the faults to inject, and counts of reads and writes.
#[derive(Default)]
pub struct Store {
    rows: BTreeMap<String, Vec<Row>>,
    objects: BTreeMap<String, String>,
    pub faults: Faults,
    pub reads: u64,
    pub writes: u64,
}

impl Store {
    pub fn get(&mut self, key: &str) -> Option<Row> {
        self.reads += 1;
        let versions = self.rows.get(key)?;
        if self.faults.stale_reads > 0 && versions.len() > 1 {
            self.faults.stale_reads -= 1;
            return versions.get(versions.len() - 2).cloned();
        }
        versions.last().cloned()
    }

    pub fn list(&mut self, prefix: &str) -> Vec<KeyedRow> {
        self.reads += 1;
        let rows = self.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        rows.filter_map(|(key, versions)| {
            Some(KeyedRow { key: key.clone(), row: versions.last()?.clone() })
        })
        .collect()
    }

    pub fn put(&mut self, key: &str, expected: u64, value: String) -> PutResult {
        self.writes += 1;
        let versions = self.rows.entry(key.to_owned()).or_default();
        let current = versions.last().cloned().unwrap_or_default();
        if current.version != expected {
            return PutResult::Conflict(current);
        }
        let row = Row { version: expected + 1, value };
        versions.push(row.clone());
        // only the newest version and the one before it are ever read
        if versions.len() > 2 {
            versions.remove(0);
        }
        PutResult::Written(row)
    }

    pub fn load(&mut self, name: &str) -> Option<String> {
        self.reads += 1;
        self.objects.get(name).cloned()
    }

    pub fn store(&mut self, name: &str, value: String) {
        self.writes += 1;
        self.objects.insert(name.to_owned(), value);
    }
}
