use std::{
    cmp::Ordering,
    collections::{HashMap, hash_map::Entry},
    mem::size_of,
    time::Duration,
};

use base::{Digest, TaskId, invariant};

use crate::{
    Claim, ClaimState, Grant, Holder, Limits, Now, Record, Release, Tenure, expiry::ExpiryQueue,
};

/// Share of the capacity that claims leave free for bars.
const BAR_RESERVE_PERCENT: usize = 10;

/// The claims that a home has granted and the keys it has barred.
pub struct Table {
    limits: Limits,
    rows: HashMap<TaskId, Row>,
    expiry: ExpiryQueue,
    bytes: usize,
}

struct Row {
    claim: Claim,
    /// first epoch of the tenure in which the row was made
    since: u64,
    expires_at: Duration,
    holder: Option<Holder>,
    /// calls received before this unix time, in milliseconds, may not start the task
    barred_before: Option<u64>,
    /// whether it is known, from this tenure, that nobody holds the claim
    known_unheld: bool,
}

/// The home's information about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyInfo {
    pub grant: Grant,
    /// number of tasks in the submission, if the key is known
    pub task_count: Option<u32>,
}

impl Table {
    pub fn new(limits: Limits) -> Self {
        Self { limits, rows: HashMap::new(), expiry: ExpiryQueue::default(), bytes: 0 }
    }

    /// Grants the claim to the first executor that requests it.
    pub fn claim(&mut self, tenure: Tenure, by: &Holder, claim: Claim, now: Now) -> Grant {
        let Tenure::Home { since, .. } = tenure else { return not_home(tenure) };
        let skew = self.clock_skew_ms();
        let forgotten_before = self.forgotten_before(now);
        let mut row = self.current(&claim.id, since);
        if let Some(grant) = row.as_mut().and_then(|row| row.reclaim(by, &claim, forgotten_before))
        {
            return grant;
        }
        let known_unheld = row.as_ref().is_some_and(|row| row.known_unheld);
        let barred = row.and_then(|row| row.barred_before);
        if !known_unheld && may_have_run(tenure, &claim, forgotten_before) {
            return unknown();
        }
        if received_before(&claim, barred.max(barred_before(tenure)), skew) {
            return Grant::Barred;
        }
        if self.is_stale(&claim, now) {
            return unknown();
        }
        if self.is_full(&claim, BAR_RESERVE_PERCENT) {
            return Grant::Full;
        }
        let row = self.put(claim, since, now);
        row.holder = Some(by.clone());
        Grant::Granted
    }

    /// Releases a claim that its executor gave up before the start. Returns false
    /// and does nothing if this agent is not the home.
    pub fn release(
        &mut self,
        tenure: Tenure,
        by: &Holder,
        claim: &Claim,
        release: Release,
        now: Now,
    ) -> bool {
        let Tenure::Home { since, .. } = tenure else { return false };
        let forgotten =
            may_have_run(tenure, claim, self.forgotten_before(now)) || self.is_stale(claim, now);
        match self.current(&claim.id, since) {
            Some(row)
                if row.holder.as_ref() != Some(by) || row.claim.sequence != claim.sequence =>
            {
                return true;
            }
            Some(row) => row.holder = None,
            None if forgotten => return true,
            None => {}
        }
        if release == Release::Bar {
            // the capacity isn't checked: a bar needs no more than the claim did
            self.put(claim.clone(), since, now).bar(now);
            return true;
        }
        if self.current(&claim.id, since).is_some_and(|row| row.barred_before.is_none()) {
            self.remove(&claim.id);
        }
        true
    }

    /// Looks up who holds the claim, and bars every call received so far if
    /// nobody does.
    pub fn bar(&mut self, tenure: Tenure, claim: Claim, now: Now) -> KeyInfo {
        let found = self.look_up(tenure, &claim, now);
        let Tenure::Home { since, .. } = tenure else { return found };
        if !matches!(found.grant, Grant::Free | Grant::Barred) {
            return found;
        }
        if self.is_full(&claim, 0) {
            return KeyInfo { grant: Grant::Full, ..found };
        }
        let count = found.task_count;
        let claim = Claim { task_count: claim.task_count.max(count.unwrap_or(0)), ..claim };
        self.put(claim, since, now).bar(now);
        KeyInfo { grant: Grant::Barred, task_count: count }
    }

    /// Looks up who holds the claim.
    pub fn look_up(&mut self, tenure: Tenure, claim: &Claim, now: Now) -> KeyInfo {
        let Tenure::Home { since, .. } = tenure else { return without_count(not_home(tenure)) };
        let skew = self.clock_skew_ms();
        let forgotten_before = self.forgotten_before(now);
        let row = self.current(&claim.id, since);
        let count = row.as_ref().map(|row| row.claim.task_count);
        if let Some(grant) = row.as_ref().and_then(|row| row.held_grant(claim.digest)) {
            return KeyInfo { grant, task_count: count };
        }
        let known_unheld = row.as_ref().is_some_and(|row| row.known_unheld);
        let barred = row.and_then(|row| row.barred_before);
        if !known_unheld && may_have_run(tenure, claim, forgotten_before) {
            return without_count(unknown());
        }
        if received_before(claim, barred.max(barred_before(tenure)), skew) {
            return KeyInfo { grant: Grant::Barred, task_count: count };
        }
        KeyInfo { grant: Grant::Free, task_count: count }
    }

    /// Adopts a record of an earlier home or of an executor.
    pub fn adopt(&mut self, record: Record, since: u64, now: Now) {
        let Record { claim, state } = record;
        let id = claim.id.clone();
        let known = self.current(&id, since).and_then(|row| row.holder.clone());
        let row = match (&state, &known) {
            // a bar does not replace the claim that is held
            (ClaimState::Barred(_), Some(_)) => self.current(&id, since),
            _ => Some(self.put(claim, since, now)),
        };
        let Some(row) = row else { return };
        match state {
            ClaimState::Barred(at) => row.barred_before = row.barred_before.max(Some(at)),
            ClaimState::Held(holder) => {
                let same = known.is_none_or(|known| known == holder);
                invariant!(same, "{id} is held by {holder:?} and another executor");
                row.holder = Some(holder);
            }
        }
    }

    /// Records of the keys that move to a new home. `moved` gets the key and the
    /// first epoch of the tenure in which its row was made.
    pub fn hand_over(&self, moved: impl Fn(&TaskId, u64) -> bool) -> Vec<Record> {
        let moved = self.rows.values().filter(|row| moved(&row.claim.id, row.since));
        moved.flat_map(Row::records).collect()
    }

    /// Drops the rows of tenures that have ended. `since` returns the first
    /// epoch of the current tenure of a key, if this agent is its home.
    pub fn drop_moved(&mut self, since: impl Fn(&TaskId) -> Option<u64>) {
        self.rows.retain(|id, row| {
            let keep = since(id) == Some(row.since);
            if !keep {
                self.bytes -= row_bytes(&row.claim);
            }
            keep
        });
    }

    /// Drops the rows whose retention has ended.
    pub fn expire(&mut self, now: Now) {
        while let Some(id) = self.expiry.pop(now.uptime) {
            if self.rows.get(&id).is_some_and(|row| row.expires_at <= now.uptime) {
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

    /// Memory used by the rows, in bytes, as estimated.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The row of a key, if it was made in this tenure.
    fn current(&mut self, id: &TaskId, since: u64) -> Option<&mut Row> {
        if self.rows.get(id)?.since != since {
            self.remove(id);
            return None;
        }
        self.rows.get_mut(id)
    }

    /// Whether the claim is older than any call can be, so that its offer must
    /// have been delayed in flight.
    fn is_stale(&self, claim: &Claim, now: Now) -> bool {
        let longest = (self.limits.max_call_time + self.limits.clock_skew).as_millis() as u64;
        claim.received_ms.saturating_add(longest) < now.wall_ms
    }

    /// A task that was claimed before this unix time, in milliseconds, may have run
    /// without a trace: its row, and its executor's record, may have expired. The
    /// clocks of home and entry differ, and so may those of entry and caller.
    fn forgotten_before(&self, now: Now) -> u64 {
        let retention_ms = self.limits.retention.as_millis() as u64;
        (now.wall_ms + 2 * self.clock_skew_ms()).saturating_sub(retention_ms)
    }

    /// Whether another row would use the last `reserve_percent` of the capacity.
    fn is_full(&self, claim: &Claim, reserve_percent: usize) -> bool {
        let capacity = |all: usize| all - all * reserve_percent / 100;
        self.rows.len() >= capacity(self.limits.max_entries)
            || self.bytes + row_bytes(claim) > capacity(self.limits.max_bytes)
    }

    fn clock_skew_ms(&self) -> u64 {
        self.limits.clock_skew.as_millis() as u64
    }

    /// Writes the claim into the row of its key; holder and bar stay as they are.
    fn put(&mut self, claim: Claim, since: u64, now: Now) -> &mut Row {
        let expires_at = now.uptime + self.limits.retention;
        self.expiry.push(expires_at, claim.id.clone());
        match self.rows.entry(claim.id.clone()) {
            Entry::Occupied(row) => {
                let row = row.into_mut();
                row.claim = claim;
                row.expires_at = expires_at;
                row
            }
            Entry::Vacant(free) => {
                self.bytes += row_bytes(&claim);
                free.insert(Row {
                    claim,
                    since,
                    expires_at,
                    holder: None,
                    barred_before: None,
                    known_unheld: false,
                })
            }
        }
    }

    fn remove(&mut self, id: &TaskId) {
        if let Some(row) = self.rows.remove(id) {
            self.bytes -= row_bytes(&row.claim);
        }
    }
}

impl Row {
    /// Reply to an executor that requests a claim that may be held. `None` if it is
    /// free: a holder whose request has a higher sequence gave the claim up before,
    /// unless its record of the run may have expired.
    fn reclaim(&mut self, by: &Holder, claim: &Claim, forgotten_before: u64) -> Option<Grant> {
        let holder = self.holder.as_ref()?;
        if self.claim.digest != claim.digest {
            return Some(Grant::Conflict);
        }
        if holder != by {
            return Some(Grant::Held(holder.clone()));
        }
        match claim.sequence.cmp(&self.claim.sequence) {
            Ordering::Less => Some(Grant::Barred),
            Ordering::Equal => Some(Grant::Granted),
            Ordering::Greater if self.claim.received_ms < forgotten_before => Some(unknown()),
            Ordering::Greater => {
                self.holder = None;
                self.known_unheld = true;
                None
            }
        }
    }

    /// Reply that the claim is held, or that its key was used for another request;
    /// `None` if nobody holds it.
    fn held_grant(&self, digest: Digest) -> Option<Grant> {
        let holder = self.holder.clone()?;
        if digest != Digest::UNKNOWN && digest != self.claim.digest {
            return Some(Grant::Conflict);
        }
        Some(Grant::Held(holder))
    }

    fn bar(&mut self, now: Now) {
        self.barred_before = Some(now.wall_ms);
        self.known_unheld = true;
    }

    fn records(&self) -> impl Iterator<Item = Record> {
        let held = self.holder.clone().map(ClaimState::Held);
        let states = held.into_iter().chain(self.barred_before.map(ClaimState::Barred));
        states.map(|state| Record { claim: self.claim.clone(), state })
    }
}

/// Whether a task without a row may have run: its key was issued before its row
/// could have expired, or before its executor and an earlier home were lost. A key
/// without an issue time counts as issued before every loss, and after all expiry.
fn may_have_run(tenure: Tenure, claim: &Claim, forgotten_before: u64) -> bool {
    let Tenure::Home { unknown_before, .. } = tenure else { return false };
    match claim.issued_ms {
        Some(issued) => issued < unknown_before.unwrap_or(0).max(forgotten_before),
        None => unknown_before.is_some(),
    }
}

fn barred_before(tenure: Tenure) -> Option<u64> {
    let Tenure::Home { barred_before, .. } = tenure else { return None };
    barred_before
}

/// Whether a call was received before `moment`, or so shortly after it that the
/// order is uncertain given the clock skew. All times in milliseconds.
fn received_before(claim: &Claim, moment: Option<u64>, skew: u64) -> bool {
    moment.is_some_and(|at| claim.received_ms < at.saturating_add(skew))
}

fn not_home(tenure: Tenure) -> Grant {
    let (Tenure::NotHome { epoch } | Tenure::Home { epoch, .. }) = tenure;
    Grant::NotHome { epoch }
}

fn unknown() -> Grant {
    Grant::Unknown("the agents that knew the key were lost, or have forgotten it".into())
}

fn without_count(grant: Grant) -> KeyInfo {
    KeyInfo { grant, task_count: None }
}

/// Memory used by one row and its element in the expiry queue.
fn row_bytes(claim: &Claim) -> usize {
    size_of::<Row>() + 2 * size_of::<TaskId>() + claim.id.key.len() + size_of::<Duration>()
}
