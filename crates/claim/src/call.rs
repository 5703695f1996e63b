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
pub enum Step {
    /// offer the task to an agent
    Offer,
    /// wait for the answer of the agent that holds the claim
    Attach(Holder),
    /// ask the home who holds the claim
    Look,
    /// have the home bar the call
    Bar,
    Answer(Answer),
    Conflict,
}

/// What has come of the last step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// an agent gave an answer
    Answered(Answer),
    /// an agent did nothing, or nothing was sent to it
    Declined(Answer),
    Held(Holder),
    Conflict,
    /// an offer is out, and its agent is silent or the link to it is lost
    Silent,
    /// the holder of the claim is lost
    HolderLost(Holder),
    /// no agent is left to offer to
    NoAgent(Answer),
    /// the home's word on a look
    Looked(Grant),
    /// the home's word on a bar
    Barred(Grant),
    /// the home can't be asked in time
    NoHome,
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
    pub fn next(&mut self, event: Event) -> Step {
        match event {
            Event::Answered(answer) => Step::Answer(answer),
            Event::Declined(refusal) => {
                self.refusal = refusal;
                Step::Offer
            }
            Event::NoAgent(refusal) => {
                self.refusal = refusal;
                Step::Bar
            }
            Event::Held(holder) => Step::Attach(holder),
            Event::Conflict => Step::Conflict,
            Event::Silent => Step::Look,
            Event::HolderLost(holder) => {
                unknown(&format!("agent {} that held the task was lost", holder.name))
            }
            Event::Looked(grant) => self.looked(grant),
            Event::Barred(grant) => self.barred(grant),
            Event::NoHome => unknown("the home of the key can't be asked"),
        }
    }

    fn looked(&mut self, grant: Grant) -> Step {
        match grant {
            Grant::Free => Step::Offer,
            Grant::Barred => Step::Answer(self.refusal.clone()),
            Grant::Held(holder) => Step::Attach(holder),
            Grant::Conflict => Step::Conflict,
            Grant::Unknown(why) => unknown(&why),
            Grant::Granted | Grant::NotHome { .. } | Grant::Full => Step::Look,
        }
    }

    fn barred(&mut self, grant: Grant) -> Step {
        match grant {
            Grant::Barred => Step::Answer(self.refusal.clone()),
            Grant::Held(holder) => Step::Attach(holder),
            Grant::Conflict => Step::Conflict,
            Grant::Unknown(why) => unknown(&why),
            Grant::Free | Grant::Granted | Grant::NotHome { .. } | Grant::Full => {
                unknown("the home of the key can't tell")
            }
        }
    }
}

fn unknown(why: &str) -> Step {
    Step::Answer(Answer::unknown(why))
}
