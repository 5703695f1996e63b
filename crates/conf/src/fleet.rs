use std::collections::BTreeMap;

use base::Name;
use serde::{Deserialize, Serialize};

/// The fleet configuration: one document in one row of the platform's table,
/// changed by compare-and-set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// values that hold for every service
    pub defaults: Values,
    pub services: BTreeMap<Name, Service>,
    pub exceptions: Vec<Exception>,
}

impl Fleet {
    /// Row of the platform's table that holds the document.
    pub const ROW: &str = "fleet";
}

/// One service and the teams that may call it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    pub teams: Vec<Name>,
}

/// Values an operator can set; what is absent is left to the next level.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Values {
    /// deadline of a request that names none, milliseconds
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// A deviation from the defaults for one service, and why it is there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    pub service: Name,
    pub values: Values,
    /// what the next person on duty reads
    pub reason: String,
    pub author: String,
    /// when it was added, unix milliseconds
    pub added_ms: u64,
}
