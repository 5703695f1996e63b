use std::collections::BTreeMap;

use base::Name;
use serde::{Deserialize, Serialize};

use crate::{Count, Error, Result};

/// Counts of one hour of one process of an entry: one object of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HourCounts {
    /// counted from here, unix milliseconds
    pub from_ms: u64,
    /// to here
    pub to_ms: u64,
    /// the process stopped in order, and counted everything
    pub ended: bool,
    /// by minute since 1970, then by service; empty minutes are left out
    pub minutes: BTreeMap<u64, BTreeMap<Name, Count>>,
}

impl HourCounts {
    /// Name of the object.
    pub fn object_name(entry: &str, incarnation: u64, hour: u64) -> String {
        format!("burn/{entry}/{incarnation}/{hour}")
    }

    /// # Errors
    /// When the text is no chunk.
    pub fn parse(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|e| Error::Unreadable(e.to_string()))
    }

    /// The text of the object.
    ///
    /// # Errors
    /// When it can't be written as JSON.
    pub fn to_text(&self) -> Result<String> {
        serde_json::to_string(self).map_err(|e| Error::Unreadable(e.to_string()))
    }
}

/// One process of an entry, and what it left in the store.
#[derive(Clone, Debug)]
pub struct ProcessCounts {
    pub entry: Name,
    pub started_ms: u64,
    /// in order of time
    pub hours: Vec<HourCounts>,
}
