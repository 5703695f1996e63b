use std::time::Duration;

use base::now_ms;
use conf::Change;
use platform_client::{HttpPlatform, ObjectStore, RowWrite, Table, Version, commit};
use uuid::Uuid;

use crate::{Error, Result};

/// How long an unclear write is looked into.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);

/// Who changes the fleet configuration, and the version it was seen at.
#[derive(Clone, Debug)]
pub struct Author {
    pub name: Option<String>,
    /// version the change is made for; any when absent
    pub expect: Option<Version>,
}

impl Author {
    fn name(&self) -> String {
        self.name.clone().unwrap_or_else(|| "nobody".to_owned())
    }
}

/// The fleet configuration in the platform's table.
pub struct Fleet {
    table: HttpPlatform,
}

/// The document at one version.
pub struct Document {
    pub version: Version,
    pub fleet: conf::FleetConfig,
}

impl Fleet {
    pub fn new(platform: &str) -> Self {
        Self { table: HttpPlatform::new(platform) }
    }

    /// The table that the document stands in.
    pub fn table(&self) -> &dyn Table {
        &self.table
    }

    /// The object store beside the table.
    pub fn objects(&self) -> &dyn ObjectStore {
        &self.table
    }

    /// Reads the document; an empty one when there is none.
    ///
    /// # Errors
    /// When the platform can't be reached, or the document can't be read.
    pub async fn read(&self) -> Result<Document> {
        let row = self.table.get(conf::FleetConfig::ROW_KEY).await?;
        Ok(Document { version: row.version, fleet: read_text(row.version, &row.value)? })
    }

    /// Edits the document and writes it, if nobody changed it meanwhile.
    ///
    /// # Errors
    /// `Conflict` with the changes that won, `Faulty` with every fault,
    /// `Unclear` when the platform doesn't say what became of it.
    pub async fn change(
        &self,
        author: &Author,
        summary: &str,
        edit: impl FnOnce(&mut conf::FleetConfig) -> Result<()>,
    ) -> Result<Version> {
        let mut document = self.read().await?;
        if author.expect.is_some_and(|v| v != document.version) {
            return Err(conflict(author.expect.unwrap_or(0), document.version, &document.fleet));
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
        let value =
            serde_json::to_string(&document.fleet).map_err(|e| Error::Unreadable(e.to_string()))?;
        conf::parse(&value).map_err(Error::Faulty)?;
        let is_ours = |text: &str| {
            conf::parse(text).is_ok_and(|fleet: conf::FleetConfig| fleet.find_change(id).is_some())
        };
        let expected = document.version;
        let write = RowWrite { key: conf::FleetConfig::ROW_KEY, expected, value, is_own: &is_ours };
        match commit(&self.table, write, SETTLE_LIMIT).await {
            Ok(version) => Ok(version),
            Err(platform_client::Error::Conflict(row)) => {
                let fleet = read_text(row.version, &row.value)?;
                Err(conflict(expected, row.version, &fleet))
            }
            Err(e) => Err(Error::Unclear { id: id.to_owned(), why: e.to_string() }),
        }
    }
}

fn conflict(expected: Version, version: Version, fleet: &conf::FleetConfig) -> Error {
    let changes = fleet.changes_since(expected).into_iter().cloned().collect();
    Error::Conflict { version, changes }
}

fn read_text(version: Version, text: &str) -> Result<conf::FleetConfig> {
    if version == 0 {
        return Ok(conf::FleetConfig::default());
    }
    conf::parse(text).map_err(|e| Error::Unreadable(e.to_string()))
}
