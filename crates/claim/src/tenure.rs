/// Whether this member may act as home for a key now, as the roster decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tenure {
    /// is the home and has a permit
    Home {
        /// epoch of the roster
        epoch: u64,
        /// first epoch of the unbroken tenure of this key
        since: u64,
        /// a key without a row here may have run already if it was issued before
        /// this unix time, in milliseconds, or has no issue time
        unknown_before: Option<u64>,
        /// a call received before this unix time, in milliseconds, may have been
        /// barred by an earlier home that was lost with its bars
        barred_before: Option<u64>,
    },
    /// is not the home, or has no permit
    NotHome { epoch: u64 },
}
