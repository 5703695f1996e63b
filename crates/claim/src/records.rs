use std::{collections::HashMap, mem::size_of, time::Duration};

use base::{Answer, Digest, TaskId, invariant};

use crate::{Claim, ClaimState, Holder, Limits, Now, Record, Release, expiry::ExpiryQueue};

/// What an executor knows of its tasks.
pub struct Records {
    me: Holder,
    limits: Limits,
    asks: u64,
    rows: HashMap<TaskId, Row>,
    sweep: ExpiryQueue,
    bytes: usize,
}

struct Row {
    claim: Claim,
    stage: Stage,
    /// when the row may go; never before its end
    until: Option<Duration>,
    life: Life,
}

/// Which life of its executor a record was made in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Current,
    Earlier,
}

/// How far a task has come at its executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// the home was asked for the claim
    ClaimRequested,
    /// the claim is held
    Queued,
    Running,
    Over(Answer),
    /// given up before its start; the home has yet to hear it
    GivenUp {
        release: Release,
        /// unix milliseconds
        at: u64,
    },
}

/// What an executor says to an offer of a task.
#[derive(Debug, PartialEq, Eq)]
pub enum TaskCheck<'a> {
    New,
    /// on its way to an answer
    Waiting,
    Over(&'a Answer),
    /// was given up a moment ago
    GivenUp,
    /// the key was used with another body
    Conflict,
}

impl Records {
    pub fn new(me: Holder, limits: Limits) -> Self {
        Self { me, limits, asks: 0, rows: HashMap::new(), sweep: ExpiryQueue::default(), bytes: 0 }
    }

    pub fn check(&self, id: &TaskId, digest: Digest) -> TaskCheck<'_> {
        match self.rows.get(id) {
            None => TaskCheck::New,
            Some(row) if row.claim.digest != digest => TaskCheck::Conflict,
            Some(Row { stage: Stage::Over(answer), .. }) => TaskCheck::Over(answer),
            Some(Row { stage: Stage::GivenUp { .. }, .. }) => TaskCheck::GivenUp,
            Some(_) => TaskCheck::Waiting,
        }
    }

    /// The life it goes under now.
    pub fn me(&self) -> &Holder {
        &self.me
    }

    pub fn stage(&self, id: &TaskId) -> Option<&Stage> {
        self.rows.get(id).map(|row| &row.stage)
    }

    /// Whether no new task can be taken.
    pub fn is_full(&self) -> bool {
        self.rows.len() >= self.limits.max_entries || self.bytes >= self.limits.max_bytes
    }

    /// Numbers a new claim; it must be put to the home.
    pub fn begin_claim(&mut self, claim: Claim) -> Claim {
        invariant!(!self.rows.contains_key(&claim.id), "{} is known here", claim.id);
        self.asks += 1;
        let claim = Claim { sequence: self.asks, ..claim };
        self.bytes += weight(&claim);
        let life = Life::Current;
        let row = Row { claim: claim.clone(), stage: Stage::ClaimRequested, until: None, life };
        self.rows.insert(claim.id.clone(), row);
        claim
    }

    /// Takes the home's grant. When false, nothing waits for it any more and
    /// the claim must be released.
    pub fn on_granted(&mut self, claim: &Claim) -> bool {
        let Some(row) = self.asked(claim) else { return false };
        row.stage = Stage::Queued;
        true
    }

    /// Forgets a claim that the home did not grant, or did not answer. When
    /// false, nothing waits for it any more.
    pub fn on_refused(&mut self, claim: &Claim) -> bool {
        let waits = self.asked(claim).is_some();
        if waits {
            self.remove(&claim.id);
        }
        waits
    }

    /// Notes that the task is sent to the backend server now.
    pub fn start(&mut self, id: &TaskId) {
        let Some(row) = self.rows.get_mut(id) else {
            invariant!(false, "{id} starts with no claim");
            return;
        };
        invariant!(row.stage == Stage::Queued, "{id} starts when {:?}", row.stage);
        row.stage = Stage::Running;
    }

    /// Keeps the answer of a task that was started.
    pub fn end(&mut self, id: &TaskId, answer: Answer, now: Now) {
        let until = now.uptime + self.limits.retention;
        let Some(row) = self.rows.get_mut(id) else {
            invariant!(false, "{id} ends with no record");
            return;
        };
        invariant!(row.stage == Stage::Running, "{id} ends when {:?}", row.stage);
        self.bytes += answer.body.len() + answer.reason.len();
        row.stage = Stage::Over(answer);
        row.until = Some(until);
        self.sweep.push(until, id.clone());
    }

    /// Gives a task up that has not started; a claim that was held must be
    /// released.
    pub fn give_up(&mut self, id: &TaskId, release: Release, now: Now) -> Option<Claim> {
        let row = self.rows.get_mut(id)?;
        match row.stage {
            Stage::ClaimRequested => {
                self.remove(id);
                None
            }
            Stage::Queued => {
                row.stage = Stage::GivenUp { release, at: now.wall_ms };
                Some(row.claim.clone())
            }
            Stage::Running | Stage::Over(_) | Stage::GivenUp { .. } => None,
        }
    }

    /// Gives a task up whose backend server could not be reached: nothing was
    /// sent. Its claim must be released to be placed elsewhere.
    pub fn on_send_failed(&mut self, id: &TaskId, now: Now) -> Option<Claim> {
        let row = self.rows.get_mut(id)?;
        invariant!(row.stage == Stage::Running, "{id} was not being sent");
        row.stage = Stage::GivenUp { release: Release::Free, at: now.wall_ms };
        Some(row.claim.clone())
    }

    /// Forgets a task that was given up, once the home has heard it.
    pub fn on_released(&mut self, claim: &Claim) {
        let Some(row) = self.rows.get(&claim.id) else { return };
        let given_up = matches!(row.stage, Stage::GivenUp { .. });
        if given_up && row.claim.sequence == claim.sequence {
            self.remove(&claim.id);
        }
    }

    /// Goes on under a new incarnation: what was asked for is void, and what
    /// was granted before is no longer handed over, for its loss was counted.
    pub fn begin_incarnation(&mut self, me: Holder) {
        self.me = me;
        let asked = self.rows.iter().filter(|(_, row)| row.stage == Stage::ClaimRequested);
        let void: Vec<_> = asked.map(|(id, _)| id.clone()).collect();
        for id in void {
            self.remove(&id);
        }
        self.rows.values_mut().for_each(|row| row.life = Life::Earlier);
    }

    /// What a new home must know of the keys that moved to it. Grants of the
    /// old home that are still on their way count no more.
    pub fn hand_over(&mut self, moved: impl Fn(&TaskId) -> bool) -> Vec<Record> {
        let mut records = Vec::new();
        let mut void = Vec::new();
        for (id, row) in self.rows.iter().filter(|(id, _)| moved(id)) {
            match row.stage {
                Stage::ClaimRequested => void.push(id.clone()),
                Stage::GivenUp { release: Release::Free, .. } => {}
                _ if row.life == Life::Earlier => {}
                Stage::GivenUp { release: Release::Bar, at } => {
                    let claim = row.claim.clone();
                    records.push(Record { claim, state: ClaimState::Barred(at) });
                }
                _ => records.push(self.record(row)),
            }
        }
        for id in void {
            self.remove(&id);
        }
        records
    }

    /// Drops what has been kept for its time.
    pub fn expire(&mut self, now: Now) {
        while let Some(id) = self.sweep.pop(now.uptime) {
            let over = self.rows.get(&id).and_then(|row| row.until);
            if over.is_some_and(|until| until <= now.uptime) {
                self.remove(&id);
            }
        }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Memory of the records with their answers, bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn record(&self, row: &Row) -> Record {
        Record { claim: row.claim.clone(), state: ClaimState::Held(self.me.clone()) }
    }

    fn asked(&mut self, claim: &Claim) -> Option<&mut Row> {
        let row = self.rows.get_mut(&claim.id)?;
        (row.stage == Stage::ClaimRequested && row.claim.sequence == claim.sequence).then_some(row)
    }

    fn remove(&mut self, id: &TaskId) -> Option<Claim> {
        let row = self.rows.remove(id)?;
        self.bytes -= weight(&row.claim);
        if let Stage::Over(answer) = &row.stage {
            self.bytes -= answer.body.len() + answer.reason.len();
        }
        Some(row.claim)
    }
}

/// Memory of one record without its answer, bytes.
fn weight(claim: &Claim) -> usize {
    size_of::<Row>() + 2 * size_of::<TaskId>() + claim.id.key.len() + size_of::<Duration>()
}
