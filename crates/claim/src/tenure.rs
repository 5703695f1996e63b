/// Whether this member may act as home for a key at this moment. The roster
/// decides it; the claim table acts on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tenure {
    /// may grant
    Home {
        /// roster in force
        epoch: u64,
        /// first epoch of the unbroken tenure of this key
        since: u64,
        /// a key unseen here and issued before this unix time, in milliseconds,
        /// or with no issue time, may have run already
        unknown_before: Option<u64>,
        /// a call begun before this unix time, in milliseconds, may have been
        /// barred by an earlier home that did not hand its bars over
        barred_before: Option<u64>,
    },
    /// is not the home, or has no permit now
    NotHome { epoch: u64 },
}
