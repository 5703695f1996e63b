use std::time::Duration;

/// Timing of the roster protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// time between two heartbeats to the same member
    pub heartbeat_interval: Duration,
    /// how long an acknowledged heartbeat counts towards its sender's permit,
    /// from its sending
    pub lease: Duration,
    /// a member that leaves heartbeats unanswered for this long is lost
    pub suspect_after: Duration,
    /// time between two reads of the row
    pub poll_interval: Duration,
    /// how long claims and records are kept
    pub retention: Duration,
    /// largest difference between the wall clocks of two VMs
    pub clock_skew: Duration,
    /// how much faster one monotonic clock may run than another
    pub drift_per_mille: u32,
    /// rule switched off by a test, to show that the checks detect it
    pub disabled: Option<Rule>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(1500),
            lease: Duration::from_secs(5),
            suspect_after: Duration::from_secs(4),
            poll_interval: Duration::from_secs(2),
            retention: Duration::from_secs(900),
            clock_skew: Duration::from_millis(500),
            drift_per_mille: 10,
            disabled: None,
        }
    }
}

impl Settings {
    /// Time after which every permit has expired whose majority is broken.
    pub fn lease_wait(&self) -> Duration {
        self.lease + self.lease * self.drift_per_mille / 1000
    }

    pub(crate) fn is_enabled(&self, rule: Rule) -> bool {
        self.disabled != Some(rule)
    }
}

/// Rules of the protocol that tests can switch off. The checks must fail
/// without each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// a takeover waits until the permits of the old roster have expired
    LeaseWait,
    /// a member that hands over drops its pending claim requests
    DiscardPending,
    /// acting as home needs a permit
    Permit,
    /// while a change is unsettled, a permit needs a majority of the old roster too
    OldMajority,
    /// while a change is unsettled, a permit needs a majority of the new roster too
    NewMajority,
    /// a new home grants only once the change is settled
    GrantOnceSettled,
    /// a loss that follows another is entered as a possible loss of records
    RecordLoss,
    /// record losses stay in the row after the next change
    RecordLossKept,
    /// a record loss has the time at which the change settled
    RecordLossTime,
    /// record losses older than a tenure count for it too
    EarlierRecordLoss,
    /// records of a sole member have no second copy
    SoleMember,
    /// a planned leave removes a copy, as a loss does
    PlannedLeave,
    /// claims are valid only within an unbroken tenure
    Tenure,
    /// claims are granted only to members of a settled roster
    SettledExecutors,
    /// claims are granted only to members of the home's roster
    NonMembers,
    /// a new home adopts its own records too
    OwnRecords,
    /// a takeover needs the records of every remaining member
    CollectAll,
}

impl Rule {
    pub const ALL: [Rule; 17] = [
        Rule::LeaseWait,
        Rule::DiscardPending,
        Rule::Permit,
        Rule::OldMajority,
        Rule::NewMajority,
        Rule::GrantOnceSettled,
        Rule::RecordLoss,
        Rule::RecordLossKept,
        Rule::RecordLossTime,
        Rule::EarlierRecordLoss,
        Rule::SoleMember,
        Rule::PlannedLeave,
        Rule::Tenure,
        Rule::SettledExecutors,
        Rule::NonMembers,
        Rule::OwnRecords,
        Rule::CollectAll,
    ];
}
