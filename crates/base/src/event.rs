use std::fmt;

use log::{Level, Record, kv::Value};

macro_rules! events {
    ($($name:ident = $code:literal $level:ident $text:literal)*) => {
        /// A numbered log event; docs/EVENTS.md is its catalogue.
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
    PlatformReachable = 201 Info "platform answers again"
    RowUnreadable = 202 Warn "row of the platform's store can't be read"
    FleetConfigApplied = 210 Info "fleet configuration in force"
    FleetConfigUnreadable = 211 Error "fleet configuration can't be read"
    AgentDiscovered = 300 Info "agent seen for the first time"
    AgentLost = 301 Warn "agent no longer heard"
    AgentNotReady = 302 Info "agent takes no new work"
    AgentSurplus = 303 Info "agent not needed, there are enough others"
    PeerRejected = 310 Warn "peer refused: wrong token or protocol"
    LinkLost = 311 Warn "link to a peer lost"
    BackendAnnounced = 400 Info "backend server announced itself"
    BackendExpired = 401 Warn "backend server stopped renewing"
    BackendLeft = 402 Info "backend server left"
    HomeUnresponsive = 500 Warn "home of a key gave no word on claims"
    RosterChanged = 520 Info "roster in force"
    RosterBlocked = 521 Error "too many members of a roster are lost at once"
    RosterUnreadable = 522 Error "roster can't be read"
    NewIncarnation = 523 Warn "removed from the roster while alive; a new incarnation joins"
    PermitLost = 524 Warn "no permit: heartbeats of a majority are not acknowledged"
    PermitRegained = 525 Info "permit held again"
    AgentEjected = 600 Warn "agent left out: nearly all of its runs fail"
    AgentReadmitted = 601 Info "agent no longer left out"
    CountsUnwritable = 700 Warn "counts for the burn report can't be written"
    CountsRestored = 701 Info "counts for the burn report are written again"
    JobPlaced = 800 Info "tasks of a job placed"
    JobAnswered = 801 Info "job answered"
    JobRefused = 802 Info "job refused, nothing of it ran"
    JobUnsupported = 803 Warn "job of a shape that is not served"
    JobUnroutable = 804 Info "call for no queue in the configuration"
    JobUnreadable = 805 Warn "job can't be read"
    TasksReturned = 806 Info "tasks of a job came back"
    CallerDisconnected = 807 Info "caller left before the answer"
    BatchQueued = 810 Info "tasks queued for the backend server"
    TaskSettled = 811 Info "task settled"
    OrderUnanswered = 812 Warn "order to start got no answer"
    OrderRefused = 813 Warn "backend server refused an order to start"
    OrphanRun = 814 Warn "run of no entry stopped"
    SessionOpened = 815 Info "entry heard for the first time"
    SessionLapsed = 816 Warn "session of an entry lapsed, its runs are stopped"
    LeasesLapsed = 817 Warn "leases of all runs lapsed without word of the backend server"
    BackendSuspect = 820 Warn "backend server fails or stalls what it starts"
    BackendTrusted = 821 Info "backend server trusted again"
    BackendUnresponsive = 822 Warn "backend server gives no listing"
    BackendResponsive = 823 Info "backend server gives listings again"
    BackendRestarted = 824 Warn "backend server started anew, its runs are gone"
    BackendDraining = 825 Info "backend server takes no new work"
    FenceRaised = 826 Warn "fencing token raised above one that the backend server has seen"
    HeartbeatRejected = 827 Warn "heartbeat can't be used"
    SettingsChanged = 830 Info "settings reloaded"
    SettingsRejected = 831 Error "changed settings can't be used"
    EntryDiscovered = 832 Info "entry learnt of another one"
    SessionClosed = 833 Info "entry has enough other agents, its session ends"
}

impl Event {
    pub fn code(self) -> u16 {
        self as u16
    }

    /// Writes the event to the log with its details.
    pub fn log(self, details: fmt::Arguments<'_>) {
        self.write(details, &[]);
    }

    /// Writes the event to the log with named fields.
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
