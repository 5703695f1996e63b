/// How one request or job ended, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sample {
    pub class: usize,
    pub team: usize,
    /// intended send, seconds from the start of the run
    pub at: f64,
    /// how much later it was sent than intended, milliseconds
    pub lag_ms: f64,
    /// from the intended send to the whole answer, milliseconds
    pub response_ms: f64,
    pub deadline_ms: f64,
    pub ended: Ended,
    pub cancelled: bool,
    /// run time on the backend server that ran it; for a job, of its longest task
    pub ran_ms: f64,
    /// run time of all its tasks together
    pub work_ms: f64,
    /// longest run time at speed 1
    pub asked_ms: f64,
    /// run time at speed 1 of all its tasks together
    pub asked_work_ms: f64,
    /// when to come back, for `not-run`
    pub retry_ms: f64,
}

/// The outcome, or why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Done,
    Failed,
    NotRun,
    Unknown,
    /// refused with an error of the callers' interface
    Refused,
    /// the entry couldn't be reached, or its answer was cut short
    Cut,
    /// no answer when the run was over
    Silent,
}

impl Ended {
    pub const ALL: [Ended; 7] = [
        Ended::Done,
        Ended::Failed,
        Ended::NotRun,
        Ended::Unknown,
        Ended::Refused,
        Ended::Cut,
        Ended::Silent,
    ];

    pub fn word(self) -> &'static str {
        match self {
            Ended::Done => "done",
            Ended::Failed => "failed",
            Ended::NotRun => "not-run",
            Ended::Unknown => "unknown",
            Ended::Refused => "refused",
            Ended::Cut => "cut",
            Ended::Silent => "silent",
        }
    }

    pub fn from_word(word: &str) -> Self {
        Self::ALL.into_iter().find(|e| e.word() == word).unwrap_or(Ended::Refused)
    }
}

impl Sample {
    /// Done, and by the deadline.
    pub fn is_good(&self) -> bool {
        self.ended == Ended::Done && self.response_ms <= self.deadline_ms
    }

    /// An answer that ran came after the deadline.
    pub fn is_late(&self) -> bool {
        matches!(self.ended, Ended::Done | Ended::Failed) && self.response_ms > self.deadline_ms
    }

    /// Least time an answer takes: the run on the backend server that ran it
    /// (for a job no less than its share of all slots) and the way there and back.
    pub fn ideal_ms(&self, slots: usize, delay_ms: f64) -> f64 {
        self.ran_ms.max(self.work_ms / slots.max(1) as f64) + 2.0 * delay_ms
    }

    /// The same on the fastest backend server.
    pub fn fastest_ms(&self, slots: usize, delay_ms: f64, top_speed: f64) -> f64 {
        let asked = self.asked_ms.max(self.asked_work_ms / slots.max(1) as f64);
        asked / top_speed + 2.0 * delay_ms
    }
}
