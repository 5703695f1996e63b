use std::{collections::HashMap, mem::size_of, time::Duration};

use base::{Answer, Digest, TaskId, invariant};

use crate::{Claim, ClaimState, Holder, Limits, Now, Record, Release, expiry::ExpiryQueue};

/// The claims and answers that an executor keeps of its tasks.
pub struct Records {
    me: Holder,
    limits: Limits,
    last_sequence: u64,
    rows: HashMap<TaskId, Row>,
    expiry: ExpiryQueue,
    bytes: usize,
}

struct Row {
    claim: Claim,
    stage: Stage,
    /// `None` until the task has ended
    expires_at: Option<Duration>,
    incarnation: Incarnation,
}

/// Incarnation of the executor in which a row was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Incarnation {
    Current,
    Earlier,
}

/// Stage of a task at its executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// the claim was requested from the home
    ClaimRequested,
    /// the claim is held
    Queued,
    Running,
    Over(Answer),
    /// given up before its start; the home has not confirmed the release yet
    GivenUp {
        release: Release,
        /// unix time
        at_ms: u64,
    },
}

/// What the records hold about an offered task.
#[derive(Debug, PartialEq, Eq)]
pub enum TaskCheck<'a> {
    New,
    /// accepted and not answered yet
    Waiting,
    Over(&'a Answer),
    /// given up, and its release is not confirmed yet
    GivenUp,
    /// the key was used with another body
    Conflict,
}

impl Records {
    pub fn new(me: Holder, limits: Limits) -> Self {
        Self {
            me,
            limits,
            last_sequence: 0,
            rows: HashMap::new(),
            expiry: ExpiryQueue::default(),
            bytes: 0,
        }
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

    /// Current incarnation of this executor.
    pub fn me(&self) -> &Holder {
        &self.me
    }

    pub fn stage(&self, id: &TaskId) -> Option<&Stage> {
        self.rows.get(id).map(|row| &row.stage)
    }

    /// Whether no new task can be accepted.
    pub fn is_full(&self) -> bool {
        self.rows.len() >= self.limits.max_entries || self.bytes >= self.limits.max_bytes
    }

    /// Numbers and records a new claim, which must be sent to the home.
    pub fn begin_claim(&mut self, claim: Claim) -> Claim {
        invariant!(!self.rows.contains_key(&claim.id), "{} has a record already", claim.id);
        self.last_sequence += 1;
        let claim = Claim { sequence: self.last_sequence, ..claim };
        self.bytes += row_bytes(&claim);
        let incarnation = Incarnation::Current;
        let row = Row {
            claim: claim.clone(),
            stage: Stage::ClaimRequested,
            expires_at: None,
            incarnation,
        };
        self.rows.insert(claim.id.clone(), row);
        claim
    }

    /// Handles the home's grant. If false, the task no longer waits for it and
    /// the claim must be released.
    pub fn on_granted(&mut self, claim: &Claim) -> bool {
        let Some(row) = self.pending_row(claim) else { return false };
        row.stage = Stage::Queued;
        true
    }

    /// Drops a claim that the home did not grant or did not answer. If false,
    /// the task no longer waited for it.
    pub fn on_refused(&mut self, claim: &Claim) -> bool {
        let is_pending = self.pending_row(claim).is_some();
        if is_pending {
            self.remove(&claim.id);
        }
        is_pending
    }

    /// Marks a task as being sent to the backend server.
    pub fn start(&mut self, id: &TaskId) {
        let Some(row) = self.rows.get_mut(id) else {
            invariant!(false, "{id} starts without a claim");
            return;
        };
        invariant!(row.stage == Stage::Queued, "{id} starts in stage {:?}", row.stage);
        row.stage = Stage::Running;
    }

    /// Stores the answer of a task that was started.
    pub fn end(&mut self, id: &TaskId, answer: Answer, now: Now) {
        let expires_at = now.uptime + self.limits.retention;
        let Some(row) = self.rows.get_mut(id) else {
            invariant!(false, "{id} ends without a record");
            return;
        };
        invariant!(row.stage == Stage::Running, "{id} ends in stage {:?}", row.stage);
        self.bytes += answer.body.len() + answer.reason.len();
        row.stage = Stage::Over(answer);
        row.expires_at = Some(expires_at);
        self.expiry.push(expires_at, id.clone());
    }

    /// Gives up a task that has not started. A returned claim must be released
    /// at the home.
    pub fn give_up(&mut self, id: &TaskId, release: Release, now: Now) -> Option<Claim> {
        let row = self.rows.get_mut(id)?;
        match row.stage {
            Stage::ClaimRequested => {
                self.remove(id);
                None
            }
            Stage::Queued => {
                row.stage = Stage::GivenUp { release, at_ms: now.wall_ms };
                Some(row.claim.clone())
            }
            Stage::Running | Stage::Over(_) | Stage::GivenUp { .. } => None,
        }
    }

    /// Gives up a task that could not be sent to the backend server. The
    /// returned claim must be released at the home.
    pub fn on_send_failed(&mut self, id: &TaskId, now: Now) -> Option<Claim> {
        let row = self.rows.get_mut(id)?;
        invariant!(row.stage == Stage::Running, "{id} was not started");
        row.stage = Stage::GivenUp { release: Release::Free, at_ms: now.wall_ms };
        Some(row.claim.clone())
    }

    /// Drops a task that was given up, once the home has confirmed the release.
    pub fn on_released(&mut self, claim: &Claim) {
        let Some(row) = self.rows.get(&claim.id) else { return };
        let given_up = matches!(row.stage, Stage::GivenUp { .. });
        if given_up && row.claim.sequence == claim.sequence {
            self.remove(&claim.id);
        }
    }

    /// Begins a new incarnation: pending claim requests are dropped, and rows of
    /// earlier incarnations are no longer handed over, since the roster already
    /// counts them as lost.
    pub fn begin_incarnation(&mut self, me: Holder) {
        self.me = me;
        let requested = self.rows.iter().filter(|(_, row)| row.stage == Stage::ClaimRequested);
        let pending: Vec<_> = requested.map(|(id, _)| id.clone()).collect();
        for id in pending {
            self.remove(&id);
        }
        self.rows.values_mut().for_each(|row| row.incarnation = Incarnation::Earlier);
    }

    /// Records of the keys that moved to a new home. Drops pending claim
    /// requests, so that grants of the old home that are still in flight are
    /// discarded.
    pub fn hand_over(&mut self, moved: impl Fn(&TaskId) -> bool) -> Vec<Record> {
        let mut records = Vec::new();
        let mut pending = Vec::new();
        for (id, row) in self.rows.iter().filter(|(id, _)| moved(id)) {
            match row.stage {
                Stage::ClaimRequested => pending.push(id.clone()),
                Stage::GivenUp { release: Release::Free, .. } => {}
                _ if row.incarnation == Incarnation::Earlier => {}
                Stage::GivenUp { release: Release::Bar, at_ms } => {
                    let claim = row.claim.clone();
                    records.push(Record { claim, state: ClaimState::Barred(at_ms) });
                }
                _ => records.push(self.record(row)),
            }
        }
        for id in pending {
            self.remove(&id);
        }
        records
    }

    /// Drops the records whose retention has ended.
    pub fn expire(&mut self, now: Now) {
        while let Some(id) = self.expiry.pop(now.uptime) {
            let expires_at = self.rows.get(&id).and_then(|row| row.expires_at);
            if expires_at.is_some_and(|at| at <= now.uptime) {
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

    /// Memory used by the records and their answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn record(&self, row: &Row) -> Record {
        Record { claim: row.claim.clone(), state: ClaimState::Held(self.me.clone()) }
    }

    fn pending_row(&mut self, claim: &Claim) -> Option<&mut Row> {
        let row = self.rows.get_mut(&claim.id)?;
        (row.stage == Stage::ClaimRequested && row.claim.sequence == claim.sequence).then_some(row)
    }

    fn remove(&mut self, id: &TaskId) -> Option<Claim> {
        let row = self.rows.remove(id)?;
        self.bytes -= row_bytes(&row.claim);
        if let Stage::Over(answer) = &row.stage {
            self.bytes -= answer.body.len() + answer.reason.len();
        }
        Some(row.claim)
    }
}

/// Memory used by one record without its answer.
fn row_bytes(claim: &Claim) -> usize {
    size_of::<Row>() + 2 * size_of::<TaskId>() + claim.id.key.len() + size_of::<Duration>()
}
