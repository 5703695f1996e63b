use base::Answer;

use crate::{Grant, Holder};

/// State machine of one call of a keyed task at its entry. It answers `not-run`
/// only if the holder gave the claim up for good, or the home barred the call.
#[derive(Debug)]
pub struct Call {
    /// answer if the task did not run
    refusal: Answer,
}

/// Next step of the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// offer the task to an agent
    Offer,
    /// wait for the answer of the agent that holds the claim
    Attach(Holder),
    /// ask the home who holds the claim
    LookUp,
    /// ask the home to bar the call
    Bar,
    Answer(Answer),
    Conflict,
}

/// Result of the last step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEvent {
    /// an agent gave an answer
    Answered(Answer),
    /// the agent did nothing, or the offer was not sent
    Declined(Answer),
    Held(Holder),
    Conflict,
    /// an offer was sent, and its agent does not answer or the link was lost
    NoReply,
    /// the holder of the claim is lost
    HolderLost(Holder),
    /// there is no agent left to offer the task to
    NoAgent(Answer),
    /// the home's reply to a lookup
    LookUpReply(Grant),
    /// the home's reply to a bar
    BarReply(Grant),
    /// the home can't be reached in time
    HomeUnreachable,
}

impl Call {
    /// `refusal` is the answer until an agent gives a reason of its own.
    pub fn new(refusal: Answer) -> Self {
        Self { refusal }
    }

    /// Answer if the task did not run.
    pub fn refusal(&self) -> &Answer {
        &self.refusal
    }

    /// Decides the next step.
    pub fn next(&mut self, event: CallEvent) -> CallStep {
        match event {
            CallEvent::Answered(answer) => CallStep::Answer(answer),
            CallEvent::Declined(refusal) => {
                self.refusal = refusal;
                CallStep::Offer
            }
            CallEvent::NoAgent(refusal) => {
                self.refusal = refusal;
                CallStep::Bar
            }
            CallEvent::Held(holder) => CallStep::Attach(holder),
            CallEvent::Conflict => CallStep::Conflict,
            CallEvent::NoReply => CallStep::LookUp,
            CallEvent::HolderLost(holder) => {
                unknown(&format!("agent {} that held the task was lost", holder.name))
            }
            CallEvent::LookUpReply(grant) => self.on_look_up(grant),
            CallEvent::BarReply(grant) => self.on_bar(grant),
            CallEvent::HomeUnreachable => unknown("the home of the key can't be asked"),
        }
    }

    fn on_look_up(&mut self, grant: Grant) -> CallStep {
        match grant {
            Grant::Free => CallStep::Offer,
            Grant::Barred => CallStep::Answer(self.refusal.clone()),
            Grant::Held(holder) => CallStep::Attach(holder),
            Grant::Conflict => CallStep::Conflict,
            Grant::Unknown(why) => unknown(&why),
            Grant::Granted | Grant::NotHome { .. } | Grant::Full => CallStep::LookUp,
        }
    }

    fn on_bar(&mut self, grant: Grant) -> CallStep {
        match grant {
            Grant::Barred => CallStep::Answer(self.refusal.clone()),
            Grant::Held(holder) => CallStep::Attach(holder),
            Grant::Conflict => CallStep::Conflict,
            Grant::Unknown(why) => unknown(&why),
            Grant::Free | Grant::Granted | Grant::NotHome { .. } | Grant::Full => {
                unknown("the home of the key can't tell")
            }
        }
    }
}

fn unknown(why: &str) -> CallStep {
    CallStep::Answer(Answer::unknown(why))
}
