use std::collections::BTreeMap;

use base::Name;

/// The drained data centres as of a version of the store. Versions come from one
/// counter of the store, so the state with the higher one is newer, also when a
/// drain was taken back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drains {
    /// 0 when nothing is known
    pub as_of: u64,
    pub centres: BTreeMap<Name, DrainedCentre>,
}

/// A drained data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainedCentre {
    /// version of the operator's row in the store
    pub version: u64,
    /// when an entry first saw it, unix milliseconds
    pub since_ms: u64,
}
