use std::time::Duration;

use base::now_ms;
use conf::Change;
use platform_client::{HttpPlatform, ObjectStore, RowWrite, Table, Version, commit};
use uuid::Uuid;

use crate::{Error, Result};

/// How long a write with a lost reply is retried and read back.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Author of a change to the fleet configuration, and the version that they expect.
#[derive(Clone, Debug)]
pub struct Author {
    pub name: Option<String>,
    /// the change applies to this version only; to any if absent
    pub expected: Option<Version>,
}

impl Author {
    fn name(&self) -> String {
        self.name.clone().unwrap_or_else(|| "nobody".to_owned())
    }
}

/// Access to the fleet configuration in the platform's table.
pub struct Fleet {
    table: HttpPlatform,
}

/// One version of the fleet configuration.
pub struct Document {
    pub version: Version,
    pub fleet: conf::FleetConfig,
}

impl Fleet {
    pub fn new(platform: &str) -> Self {
        Self { table: HttpPlatform::new(platform) }
    }

    /// The table that holds the fleet configuration.
    pub fn table(&self) -> &dyn Table {
        &self.table
    }

    /// The platform's object store.
    pub fn objects(&self) -> &dyn ObjectStore {
        &self.table
    }

    /// Reads the fleet configuration; the default one if none is stored.
    ///
    /// # Errors
    /// When the platform can't be reached, or the stored text can't be decoded.
    pub async fn read(&self) -> Result<Document> {
        let row = self.table.get(conf::FleetConfig::ROW_KEY).await?;
        Ok(Document { version: row.version, fleet: decode(row.version, &row.value)? })
    }

    /// Edits the fleet configuration and writes it by compare-and-set.
    ///
    /// # Errors
    /// `Conflict` with the concurrent changes, `InvalidConfig` with all faults,
    /// `Indeterminate` if it isn't known whether the write took effect.
    pub async fn change(
        &self,
        author: &Author,
        summary: &str,
        edit: impl FnOnce(&mut conf::FleetConfig) -> Result<()>,
    ) -> Result<Version> {
        let mut document = self.read().await?;
        if author.expected.is_some_and(|v| v != document.version) {
            return Err(conflict(author.expected.unwrap_or(0), document.version, &document.fleet));
        }
        edit(&mut document.fleet)?;
        let id = Uuid::now_v7().to_string();
        document.fleet.record(Change {
            id: id.clone(),
            version: document.version + 1,
            author: author.name(),
            time_ms: now_ms(),
            summary: summary.to_owned(),
        });
        self.write(&document, &id).await
    }

    async fn write(&self, document: &Document, id: &str) -> Result<Version> {
        let value = serde_json::to_string(&document.fleet)
            .map_err(|e| Error::Undecodable(e.to_string()))?;
        conf::parse(&value).map_err(Error::InvalidConfig)?;
        let is_own = |text: &str| {
            conf::parse(text).is_ok_and(|fleet: conf::FleetConfig| fleet.find_change(id).is_some())
        };
        let expected = document.version;
        let write = RowWrite { key: conf::FleetConfig::ROW_KEY, expected, value, is_own: &is_own };
        match commit(&self.table, write, COMMIT_TIMEOUT).await {
            Ok(version) => Ok(version),
            Err(platform_client::Error::Conflict(row)) => {
                let fleet = decode(row.version, &row.value)?;
                Err(conflict(expected, row.version, &fleet))
            }
            Err(e) => Err(Error::Indeterminate { id: id.to_owned(), reason: e.to_string() }),
        }
    }
}

fn conflict(expected: Version, version: Version, fleet: &conf::FleetConfig) -> Error {
    let changes = fleet.changes_since(expected).into_iter().cloned().collect();
    Error::Conflict { version, changes }
}

fn decode(version: Version, text: &str) -> Result<conf::FleetConfig> {
    if version == 0 {
        return Ok(conf::FleetConfig::default());
    }
    conf::parse(text).map_err(|e| Error::Undecodable(e.to_string()))
}
