use std::time::Duration;

use base::Uptime;

use crate::{Crash, TaskRef, batch::BatchKey};

/// One placed task.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub batch: BatchKey,
    pub task: TaskRef,
    pub number: u32,
    /// latest time for its start
    pub start_deadline: Uptime,
    pub state: State,
    /// when its start was ordered
    pub ordered_at: Uptime,
    pub progress: ProgressTracker,
    /// known to have started on the backend server
    pub has_run: bool,
    /// end of its entry's session, if that has expired since its start was ordered
    pub session_end: Option<Uptime>,
    /// the crash of the backend server, once that has crashed
    pub crash: Option<Crash>,
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Queued,
    /// start ordered, not answered yet
    Starting,
    /// known to run since then
    Running(Uptime),
    Stopping(Stopping),
}

/// A run whose stop was ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stopping {
    pub reason: StopReason,
    /// when the stop was last ordered
    pub ordered_at: Uptime,
    /// when the backend server confirmed the stop
    pub confirmed_at: Option<Uptime>,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// its entry cancelled it
    Cancelled,
    /// its entry may be dead
    SessionExpired,
    /// its start order got no answer; it starts again with a higher number
    Unanswered,
    /// it makes no progress
    Stalled,
    /// this agent stops
    AgentStopping,
    /// its backend server restarted
    BackendRestarted,
    /// its backend server exits before it can end
    BackendLeaving,
}

impl StopReason {
    pub fn as_str(self) -> &'static str {
        match self {
            StopReason::Cancelled => "given up by its entry",
            StopReason::SessionExpired => "session of its entry lapsed",
            StopReason::Unanswered => "order to start got no answer",
            StopReason::Stalled => "made no progress",
            StopReason::AgentStopping => "agent stops",
            StopReason::BackendRestarted => "backend server started anew",
            StopReason::BackendLeaving => "backend server exits before it can end",
        }
    }
}

/// Progress of a run by the listings.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProgressTracker {
    pub percent: u32,
    /// when the percentage last rose
    pub changed_at: Uptime,
    /// longest time between two changes
    pub longest_step: Duration,
    /// whether its speed was sampled
    pub is_sampled: bool,
}

impl Run {
    /// Whether it uses resources of the backend server, or may.
    pub fn is_active(&self) -> bool {
        self.state != State::Queued
    }
}
