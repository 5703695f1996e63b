use std::time::Duration;

/// Times of the roster protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// between two heartbeats to the same member
    pub heartbeat_interval: Duration,
    /// how long a heartbeat's acknowledgement lets its sender act as home
    pub lease: Duration,
    /// a member that leaves heartbeats unanswered for this long is lost
    pub suspect_after: Duration,
    /// between two reads of the row
    pub poll_interval: Duration,
    /// how long a key is remembered
    pub retention: Duration,
    /// how far the wall clocks of two VMs may lie apart
    pub clock_skew: Duration,
    /// how much faster one monotonic clock may run than another, per mille
    pub drift_per_mille: u32,
    /// a rule left out, to see a check fail
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
    /// Wait after which every permit of broken acknowledgements has ended.
    pub fn lease_wait(&self) -> Duration {
        self.lease + self.lease * self.drift_per_mille / 1000
    }

    pub(crate) fn is_enabled(&self, rule: Rule) -> bool {
        self.disabled != Some(rule)
    }
}

/// A rule that a check must miss when it is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// a takeover waits until the permits it broke have ended
    Wait,
    /// a member that hands over gives up claims it is still asking for
    Discard,
    /// home only with a permit
    Permit,
    /// while a change is unsettled a permit needs the old roster too
    OldMajority,
    /// while a change is unsettled a permit needs the new roster too
    NewMajority,
    /// a new home grants only once the change is settled
    Settled,
    /// a loss that follows another leaves a mark
    Mark,
    /// marks stay in the row
    MarkInRow,
    /// a mark bears the time of settling
    MarkTime,
    /// marks older than a tenure bind it too
    OldMarks,
    /// records of a roster of one have no second copy
    Lone,
    /// a planned leave takes a copy away, as a loss does
    Leave,
    /// claims count only within an unbroken tenure
    Tenure,
    /// claims go to members of a settled roster only
    Executors,
    /// a home grants only to members of its roster
    Strangers,
    /// a new home counts its own records too
    OwnRecords,
    /// every remaining member hands over its records
    Collect,
}

impl Rule {
    pub const ALL: [Rule; 17] = [
        Rule::Wait,
        Rule::Discard,
        Rule::Permit,
        Rule::OldMajority,
        Rule::NewMajority,
        Rule::Settled,
        Rule::Mark,
        Rule::MarkInRow,
        Rule::MarkTime,
        Rule::OldMarks,
        Rule::Lone,
        Rule::Leave,
        Rule::Tenure,
        Rule::Executors,
        Rule::Strangers,
        Rule::OwnRecords,
        Rule::Collect,
    ];
}
