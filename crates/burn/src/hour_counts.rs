use std::collections::BTreeMap;

use base::Name;
use serde::{Deserialize, Serialize};

use crate::{Count, Error, Result};

/// Answer counts of one process of an entry in one hour, stored as one object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HourCounts {
    /// start of the counted period, unix milliseconds
    pub from_ms: u64,
    /// end of the counted period, unix milliseconds
    pub to_ms: u64,
    /// the process shut down gracefully and counted every answer
    pub ended: bool,
    /// by minute since 1970, then by service; empty minutes are left out
    pub minutes: BTreeMap<u64, BTreeMap<Name, Count>>,
}

impl HourCounts {
    /// Name of the object in the store.
    pub fn object_name(entry: &str, incarnation: u64, hour: u64) -> String {
        format!("burn/{entry}/{incarnation}/{hour}")
    }

    /// # Errors
    /// When the text isn't valid.
    pub fn parse(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|e| Error::Unreadable(e.to_string()))
    }

    /// The content of the object.
    ///
    /// # Errors
    /// When it can't be written as JSON.
    pub fn to_text(&self) -> Result<String> {
        serde_json::to_string(self).map_err(|e| Error::Unreadable(e.to_string()))
    }
}

/// The stored counts of one process of an entry.
#[derive(Clone, Debug)]
pub struct ProcessCounts {
    pub entry: Name,
    pub started_ms: u64,
    /// in chronological order
    pub hours: Vec<HourCounts>,
}
