use base::{Answer, Name, Outcome};
use serde::Serialize;

/// Progress of one task of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// not started so far, and no agent is about to start it; a call in progress may
    Unseen,
    Queued,
    Running,
    Finished(Answer),
    /// it did not run, and only a call received after its last refusal may start it
    NotRun,
    /// can't be determined, with the reason
    Unknown(Name),
}

/// Progress of the tasks of a key, in order.
pub struct KeyStatus {
    pub tasks: Vec<KeyState>,
}

/// Tasks of a key by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    pub unseen: usize,
    pub queued: usize,
    pub running: usize,
    pub done: usize,
    pub failed: usize,
    pub not_run: usize,
    pub unknown: usize,
}

impl KeyStatus {
    /// State of the whole key; states that decide its answer take precedence.
    pub fn state(&self) -> &'static str {
        let total = self.tasks.len();
        let Counts { queued, running, done, failed, not_run, unknown, .. } = self.counts();
        if failed > 0 {
            return "failed";
        }
        if unknown > 0 {
            return "unknown";
        }
        if done == total {
            return "done";
        }
        if not_run == total {
            return "not-run";
        }
        if running + done > 0 {
            return "running";
        }
        if queued > 0 { "queued" } else { "unseen" }
    }

    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for state in &self.tasks {
            let counter = match state {
                KeyState::Unseen => &mut counts.unseen,
                KeyState::Queued => &mut counts.queued,
                KeyState::Running => &mut counts.running,
                KeyState::NotRun => &mut counts.not_run,
                KeyState::Unknown(_) => &mut counts.unknown,
                KeyState::Finished(answer) => match answer.outcome {
                    Outcome::Done => &mut counts.done,
                    Outcome::Failed => &mut counts.failed,
                    Outcome::NotRun => &mut counts.unseen,
                    Outcome::Unknown => &mut counts.unknown,
                },
            };
            *counter += 1;
        }
        counts
    }
}
