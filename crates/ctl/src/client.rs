use plat::{HttpPlatform, Table, Version};

use crate::{Error, Result};

/// What is submitted: decides the path at the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    Request,
    Job,
}

impl Work {
    pub fn path(self) -> &'static str {
        match self {
            Work::Request => "request",
            Work::Job => "job",
        }
    }
}

/// The fleet configuration in the platform's table.
pub struct Fleet {
    table: HttpPlatform,
}

/// The document at one version.
pub struct Document {
    pub version: Version,
    pub fleet: conf::Fleet,
}

impl Fleet {
    pub fn new(platform: &str) -> Self {
        Self { table: HttpPlatform::new(platform) }
    }

    pub async fn read(&self) -> Result<Document> {
        let row = self.table.get(conf::Fleet::ROW).await?;
        if row.version == 0 {
            return Ok(Document { version: 0, fleet: conf::Fleet::default() });
        }
        let fleet = serde_json::from_str(&row.value).map_err(|e| Error::Fleet(e.to_string()))?;
        Ok(Document { version: row.version, fleet })
    }

    pub async fn write(&self, document: &Document) -> Result<Version> {
        let value =
            serde_json::to_string(&document.fleet).map_err(|e| Error::Fleet(e.to_string()))?;
        Ok(self.table.put(conf::Fleet::ROW, document.version, value).await?)
    }
}
