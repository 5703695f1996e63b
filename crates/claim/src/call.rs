use base::Answer;

use crate::{Grant, Holder};

/// One call of a keyed task, as its entry follows it. It says `not-run` only
/// when the holder of the claim gave it up for good, or the home barred it.
#[derive(Debug)]
pub struct Call {
    /// what the caller is told when nothing ran
    refusal: Answer,
}

/// What the entry does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// offer the task to an agent
    Offer,
    /// wait for the answer of the agent that holds the claim
    Attach(Holder),
    /// ask the home who holds the claim
    LookUp,
    /// have the home bar the call
    Bar,
    Answer(Answer),
    Conflict,
}

/// What has come of the last step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEvent {
    /// an agent gave an answer
    Answered(Answer),
    /// an agent did nothing, or nothing was sent to it
    Declined(Answer),
    Held(Holder),
    Conflict,
    /// an offer is out, and its agent is silent or the link to it is lost
    NoReply,
    /// the holder of the claim is lost
    HolderLost(Holder),
    /// no agent is left to offer to
    NoAgent(Answer),
    /// the home's word on a look
    LookUpReply(Grant),
    /// the home's word on a bar
    BarReply(Grant),
    /// the home can't be asked in time
    HomeUnreachable,
}

impl Call {
    /// `refusal` is what the caller is told when nothing better is known.
    pub fn new(refusal: Answer) -> Self {
        Self { refusal }
    }

    /// What the caller is told when nothing ran.
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
            CallEvent::LookUpReply(grant) => self.looked(grant),
            CallEvent::BarReply(grant) => self.barred(grant),
            CallEvent::HomeUnreachable => unknown("the home of the key can't be asked"),
        }
    }

    fn looked(&mut self, grant: Grant) -> CallStep {
        match grant {
            Grant::Free => CallStep::Offer,
            Grant::Barred => CallStep::Answer(self.refusal.clone()),
            Grant::Held(holder) => CallStep::Attach(holder),
            Grant::Conflict => CallStep::Conflict,
            Grant::Unknown(why) => unknown(&why),
            Grant::Granted | Grant::NotHome { .. } | Grant::Full => CallStep::LookUp,
        }
    }

    fn barred(&mut self, grant: Grant) -> CallStep {
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
