use std::fmt;

use log::Level;

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
    PlatformDown = 200 Warn "platform can't be reached"
    PlatformBack = 201 Info "platform answers again"
    FleetChanged = 210 Info "fleet configuration in force"
    FleetRefused = 211 Error "fleet configuration can't be read"
    AgentSeen = 300 Info "agent seen for the first time"
    AgentGone = 301 Warn "agent no longer heard"
    AgentNotReady = 302 Info "agent takes no new work"
    PeerRefused = 310 Warn "peer refused: wrong token or protocol"
    LinkLost = 311 Warn "link to a peer lost"
    BackendSeen = 400 Info "backend server announced itself"
    BackendGone = 401 Warn "backend server stopped renewing"
    BackendLeft = 402 Info "backend server left"
    HomeSilent = 500 Warn "home of a key gave no word on claims"
    RosterChanged = 520 Info "roster in force"
    RosterStuck = 521 Error "too many members of a roster are lost at once"
    RosterRefused = 522 Error "roster can't be read"
    NewLife = 523 Warn "removed from the roster while alive; a new incarnation joins"
    PermitLost = 524 Warn "no permit: heartbeats of a majority are not acknowledged"
    PermitBack = 525 Info "permit held again"
    AgentEjected = 600 Warn "agent left out: nearly all of its runs fail"
    AgentBackIn = 601 Info "agent no longer left out"
    CountsDown = 700 Warn "counts for the burn report can't be written"
    CountsBack = 701 Info "counts for the burn report are written again"
}

impl Event {
    pub fn code(self) -> u16 {
        self as u16
    }

    /// Writes the event to the log with its details.
    pub fn log(self, details: fmt::Arguments<'_>) {
        log::log!(self.level(), "E{:04} {}: {}", self.code(), self.text(), details);
    }
}
