/// Result of one request or job, as its caller sees it.
#[derive(Clone, Debug)]
pub struct Sample {
    pub class: usize,
    pub team: usize,
    /// intended send time, seconds from the start of the run
    pub at: f64,
    /// delay of the send after the intended time, milliseconds
    pub lag_ms: f64,
    /// from the intended send to the whole answer, milliseconds
    pub response_ms: f64,
    pub deadline_ms: f64,
    pub ended: Outcome,
    pub cancelled: bool,
    /// run time on the backend server that ran it; for a job, of its longest task
    pub ran_ms: f64,
    /// run time of all its tasks together
    pub work_ms: f64,
    /// longest run time at speed 1
    pub asked_ms: f64,
    /// run time at speed 1 of all its tasks together
    pub asked_work_ms: f64,
    /// proposed delay before a retry, for `not-run`
    pub retry_ms: f64,
}

/// Outcome of a submission, or the reason why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    Failed,
    NotRun,
    Unknown,
    /// error of the callers' interface
    Refused,
    /// the entry couldn't be reached, or its answer was cut short
    Cut,
    /// no answer by the end of the run
    Silent,
}

impl Outcome {
    pub const ALL: [Outcome; 7] = [
        Outcome::Done,
        Outcome::Failed,
        Outcome::NotRun,
        Outcome::Unknown,
        Outcome::Refused,
        Outcome::Cut,
        Outcome::Silent,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::Failed => "failed",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Refused => "refused",
            Outcome::Cut => "cut",
            Outcome::Silent => "silent",
        }
    }

    pub fn from_name(name: &str) -> Self {
        Self::ALL.into_iter().find(|e| e.name() == name).unwrap_or(Outcome::Refused)
    }
}

impl Sample {
    /// Done by the deadline.
    pub fn is_good(&self) -> bool {
        self.ended == Outcome::Done && self.response_ms <= self.deadline_ms
    }

    /// Done or failed after the deadline.
    pub fn is_late(&self) -> bool {
        matches!(self.ended, Outcome::Done | Outcome::Failed) && self.response_ms > self.deadline_ms
    }

    /// Least time an answer takes: the run on the backend server that ran it
    /// (for a job at least its work over all slots) and the round trip.
    pub fn ideal_ms(&self, slots: usize, delay_ms: f64) -> f64 {
        self.ran_ms.max(self.work_ms / slots.max(1) as f64) + 2.0 * delay_ms
    }

    /// The same on the fastest backend server.
    pub fn fastest_ms(&self, slots: usize, delay_ms: f64, top_speed: f64) -> f64 {
        let asked = self.asked_ms.max(self.asked_work_ms / slots.max(1) as f64);
        asked / top_speed + 2.0 * delay_ms
    }
}
