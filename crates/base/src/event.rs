use std::fmt;

use log::{Level, Record, kv::Value};

macro_rules! events {
    ($($name:ident = $code:literal $level:ident $text:literal)*) => {
        /// Numbered log event; docs/EVENTS.md lists them all.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $text] $name = $code,)*
        }

        impl Event {
            pub const ALL: &[Event] = &[$(Event::$name,)*];

            pub fn level(self) -> Level {
                match self {
                    $(Event::$name => Level::$level,)*
                }
            }

            pub fn text(self) -> &'static str {
                match self {
                    $(Event::$name => $text,)*
                }
            }
        }
    };
}

events! {
    Started = 100 Info "program started"
    Stopping = 101 Info "graceful shutdown begins"
    Stopped = 102 Info "program stopped"
    InvariantBroken = 110 Error "invariant broken"
    PlatformUnreachable = 200 Warn "platform can't be reached"
    PlatformReachable = 201 Info "platform can be reached again"
    RowUnreadable = 202 Warn "row of the platform's table can't be read"
    FleetConfigApplied = 210 Info "fleet configuration in force"
    FleetConfigUnreadable = 211 Error "fleet configuration can't be read"
    FleetConfigAdjusted = 212 Warn "parts of the fleet configuration are left out or bounded"
    DrainBegun = 220 Info "data centre drained"
    DrainEnded = 221 Info "data centre no longer drained"
    DrainIgnored = 222 Warn "drain of a data centre ignored"
    AgentDiscovered = 300 Info "agent seen for the first time"
    AgentLost = 301 Warn "agent no longer sends heartbeats"
    AgentNotReady = 302 Info "agent takes no new work"
    AgentSurplus = 303 Info "agent not needed: the entry has enough others"
    PeerRejected = 310 Warn "peer rejected: wrong token or protocol version"
    LinkLost = 311 Warn "connection to a peer lost"
    BackendAnnounced = 400 Info "backend server announced itself"
    BackendExpired = 401 Warn "backend server stopped renewing its announcement"
    BackendLeft = 402 Info "backend server left"
    HomeUnresponsive = 500 Warn "home of a key did not answer a claim request"
    RosterChanged = 520 Info "roster changed"
    RosterBlocked = 521 Error "roster change blocked: too many members were lost at once"
    RosterUnreadable = 522 Error "roster can't be read"
    NewIncarnation = 523 Warn "removed from the roster while alive; joins with a new incarnation"
    PermitLost = 524 Warn "permit lost: heartbeats of a majority are not acknowledged"
    PermitRegained = 525 Info "permit held again"
    AgentEjected = 600 Warn "agent ejected: nearly all of its runs fail"
    AgentReadmitted = 601 Info "agent readmitted"
    CountsUnwritable = 700 Warn "counts for the burn report can't be written"
    CountsRestored = 701 Info "counts for the burn report are written again"
    JobPlaced = 800 Info "tasks of a job placed"
    JobAnswered = 801 Info "job answered"
    JobRefused = 802 Info "job refused; none of its tasks ran"
    JobUnsupported = 803 Warn "job of an unsupported type"
    JobUnroutable = 804 Info "request that matches no configured queue"
    JobUnreadable = 805 Warn "job can't be read"
    TaskReturned = 806 Info "task returned by an agent without success"
    CallerDisconnected = 807 Info "caller disconnected before the answer"
    TaskCrashed = 808 Warn "backend server of a task crashed"
    QueueConfined = 840 Warn "queue confined to few agents: its jobs crash backend servers"
    QueueReleased = 841 Info "queue no longer confined"
    BatchQueued = 810 Info "batch of tasks queued for the backend server"
    TaskEnded = 811 Info "task ended"
    OrderUnanswered = 812 Warn "no answer to a start order"
    OrderRefused = 813 Warn "backend server refused a start order"
    OrphanRun = 814 Warn "run that belongs to no entry stopped"
    SessionOpened = 815 Info "session of an entry opened"
    SessionExpired = 816 Warn "session of an entry expired; its runs are stopped"
    LeasesExpired = 817 Warn "leases of all runs expired"
    BatchUnknown = 818 Warn "an entry asked about a batch that is not known"
    RunCutShort = 819 Info "run stopped: its backend server exits before it can end"
    BackendSuspect = 820 Warn "backend server suspect: the runs that it starts fail or stall"
    BackendTrusted = 821 Info "backend server no longer suspect"
    BackendUnresponsive = 822 Warn "backend server answers no listing request"
    BackendResponsive = 823 Info "backend server answers listing requests again"
    BackendRestarted = 824 Warn "backend server restarted; its runs are lost"
    BackendDraining = 825 Info "backend server takes no new work"
    FenceRaised = 826 Warn "fencing token raised above the one that the backend server has seen"
    HeartbeatRejected = 827 Warn "heartbeat rejected"
    BackendCold = 828 Info "backend server is slow after its start"
    BackendWarm = 829 Info "backend server is no longer slow after its start"
    SettingsChanged = 830 Info "settings reloaded"
    SettingsRejected = 831 Error "changed settings rejected; the previous ones stay in force"
    EntryDiscovered = 832 Info "new entry discovered"
    SessionClosed = 833 Info "session closed: the entry has enough other agents"
    RunCrashed = 834 Warn "run was active when its backend server crashed"
    ListingUnreadable = 835 Warn "elements of the backend server's listings can't be read"
    LeaseWithheld = 836 Warn "no lease is given: the backend server runs what this process didn't order"
    LeaseResumed = 837 Info "leases are given again: the backend server runs nothing else"
    LeaseCapped = 838 Warn "no lease is given: runs of a lost entry may go on"
}

impl Event {
    pub fn code(self) -> u16 {
        self as u16
    }

    /// Logs the event with a free text.
    pub fn log(self, details: fmt::Arguments<'_>) {
        self.write(details, &[]);
    }

    /// Logs the event with named fields.
    pub fn note(self, fields: &[(&str, Value<'_>)]) {
        self.write(format_args!(""), fields);
    }

    fn write(self, details: fmt::Arguments<'_>, fields: &[(&str, Value<'_>)]) {
        if self.level() > log::max_level() {
            return;
        }
        let code = format!("E{:04}", self.code());
        let mut named = vec![("event", Value::from(&*code)), ("text", Value::from(self.text()))];
        named.extend(fields.iter().cloned());
        let source = named.as_slice();
        let record = Record::builder()
            .level(self.level())
            .target(module_path!())
            .key_values(&source)
            .args(details)
            .build();
        log::logger().log(&record);
    }
}
