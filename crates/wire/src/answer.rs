use std::time::Duration;

use base::{Answer, Outcome};
use bytes::Bytes;
use claim::Holder;

use crate::{
    Error, Result,
    egret_capnp::{Outcome as WireOutcome, answer, reply},
    text::read_name,
};

/// An agent's reply to an offer of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Answer(Answer),
    /// another agent holds the claim
    Held(Holder),
    /// the key was used for another task
    Conflict,
    /// did not run here, but another agent may hold the claim
    Declined(Answer),
}

pub fn write_reply(mut to: reply::Builder<'_>, reply: &Reply) {
    match reply {
        Reply::Answer(answer) => write_answer(to.init_answer(), answer),
        Reply::Held(holder) => {
            to.set_incarnation(holder.incarnation);
            to.set_held(&*holder.name);
        }
        Reply::Conflict => to.set_conflict(()),
        Reply::Declined(answer) => write_answer(to.init_declined(), answer),
    }
}

pub fn read_reply(from: reply::Reader<'_>) -> Result<Reply> {
    match from.which().map_err(|e| Error::Malformed(e.to_string()))? {
        reply::Answer(answer) => Ok(Reply::Answer(read_answer(answer?)?)),
        reply::Held(agent) => {
            let (name, incarnation) = (read_name(agent)?, from.get_incarnation());
            Ok(Reply::Held(Holder { name, incarnation }))
        }
        reply::Conflict(()) => Ok(Reply::Conflict),
        reply::Declined(answer) => Ok(Reply::Declined(read_answer(answer?)?)),
    }
}

pub fn write_answer(mut to: answer::Builder<'_>, answer: &Answer) {
    to.set_outcome(match answer.outcome {
        Outcome::Done => WireOutcome::Done,
        Outcome::Failed => WireOutcome::Failed,
        Outcome::NotRun => WireOutcome::NotRun,
        Outcome::Unknown => WireOutcome::Unknown,
    });
    to.set_body(&answer.body);
    to.set_reason(&*answer.reason);
    to.set_retry_ms(answer.retry_after.as_millis().try_into().unwrap_or(u32::MAX));
    to.set_ran_us(answer.run_time.as_micros() as u64);
    to.set_agent(&*answer.agent);
}

fn read_answer(from: answer::Reader<'_>) -> Result<Answer> {
    let outcome = match from.get_outcome().map_err(|e| Error::Malformed(e.to_string()))? {
        WireOutcome::Done => Outcome::Done,
        WireOutcome::Failed => Outcome::Failed,
        WireOutcome::NotRun => Outcome::NotRun,
        WireOutcome::Unknown => Outcome::Unknown,
    };
    Ok(Answer {
        outcome,
        body: Bytes::copy_from_slice(from.get_body()?),
        reason: read_name(from.get_reason())?,
        retry_after: Duration::from_millis(from.get_retry_ms().into()),
        run_time: Duration::from_micros(from.get_ran_us()),
        agent: read_name(from.get_agent())?,
    })
}
