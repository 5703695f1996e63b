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

/// Share of the room that only bars may use.
const BAR_SHARE: usize = 10;

/// The claims a home has granted, and the keys it has barred.
pub struct Table {
    limits: Limits,
    rows: HashMap<TaskId, Row>,
    sweep: ExpiryQueue,
    bytes: usize,
}

struct Row {
    claim: Claim,
    /// tenure the row was made in
    since: u64,
    until: Duration,
    holder: Option<Holder>,
    /// calls begun before this unix time, in milliseconds, may not start it
    barred: Option<u64>,
    /// nobody held it when it was barred here, in this tenure
    certain: bool,
}

/// What a home knows of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyInfo {
    pub grant: Grant,
    /// tasks of the submission, when the key is known
    pub task_count: Option<u32>,
}

impl Table {
    pub fn new(limits: Limits) -> Self {
        Self { limits, rows: HashMap::new(), sweep: ExpiryQueue::default(), bytes: 0 }
    }

    /// Gives the claim to the first executor that asks.
    pub fn claim(&mut self, tenure: Tenure, by: &Holder, claim: Claim, now: Now) -> Grant {
        let Tenure::Home { since, .. } = tenure else { return not_home(tenure) };
        if self.is_stale(&claim, now) {
            return Grant::Barred;
        }
        let skew = self.skew();
        let mut row = self.current(&claim.id, since);
        if let Some(grant) = row.as_mut().and_then(|row| row.reclaim(by, &claim)) {
            return grant;
        }
        let certain = row.as_ref().is_some_and(|row| row.certain);
        let barred = row.and_then(|row| row.barred);
        if !certain && is_unsure(tenure, &claim) {
            return unsure();
        }
        if began_before(&claim, barred.max(barred_before(tenure)), skew) {
            return Grant::Barred;
        }
        if self.is_full(&claim, BAR_SHARE) {
            return Grant::Full;
        }
        let row = self.put(claim, since, now);
        row.holder = Some(by.clone());
        Grant::Granted
    }

    /// Takes back a claim that its executor gave up before the start. When
    /// false, this is not the home and the release was not heard.
    pub fn release(
        &mut self,
        tenure: Tenure,
        by: &Holder,
        claim: &Claim,
        release: Release,
        now: Now,
    ) -> bool {
        let Tenure::Home { since, .. } = tenure else { return false };
        match self.current(&claim.id, since) {
            Some(row)
                if row.holder.as_ref() != Some(by) || row.claim.sequence != claim.sequence =>
            {
                return true;
            }
            Some(row) => row.holder = None,
            None if is_unsure(tenure, claim) => return true,
            None => {}
        }
        if release == Release::Bar {
            // no more room than the claim itself had
            self.put(claim.clone(), since, now).bar(now);
            return true;
        }
        if self.current(&claim.id, since).is_some_and(|row| row.barred.is_none()) {
            self.remove(&claim.id);
        }
        true
    }

    /// Tells who holds the claim, and bars every call begun so far if nobody
    /// does.
    pub fn bar(&mut self, tenure: Tenure, claim: Claim, now: Now) -> KeyInfo {
        let found = self.look_up(tenure, &claim);
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

    /// Tells who holds the claim.
    pub fn look_up(&mut self, tenure: Tenure, claim: &Claim) -> KeyInfo {
        let Tenure::Home { since, .. } = tenure else { return nothing(not_home(tenure)) };
        let skew = self.skew();
        let row = self.current(&claim.id, since);
        let count = row.as_ref().map(|row| row.claim.task_count);
        if let Some(grant) = row.as_ref().and_then(|row| row.held(claim.digest)) {
            return KeyInfo { grant, task_count: count };
        }
        let certain = row.as_ref().is_some_and(|row| row.certain);
        let barred = row.and_then(|row| row.barred);
        if !certain && is_unsure(tenure, claim) {
            return nothing(unsure());
        }
        if began_before(claim, barred.max(barred_before(tenure)), skew) {
            return KeyInfo { grant: Grant::Barred, task_count: count };
        }
        KeyInfo { grant: Grant::Free, task_count: count }
    }

    /// Takes over what an earlier home or an executor knows.
    pub fn adopt(&mut self, record: Record, since: u64, now: Now) {
        let Record { claim, state } = record;
        let id = claim.id.clone();
        let known = self.current(&id, since).and_then(|row| row.holder.clone());
        let row = match (&state, &known) {
            // the claim that is held stays what the row tells of
            (ClaimState::Barred(_), Some(_)) => self.current(&id, since),
            _ => Some(self.put(claim, since, now)),
        };
        let Some(row) = row else { return };
        match state {
            ClaimState::Barred(at) => row.barred = row.barred.max(Some(at)),
            ClaimState::Held(holder) => {
                let same = known.is_none_or(|known| known == holder);
                invariant!(same, "{id} is held by {holder:?} and another");
                row.holder = Some(holder);
            }
        }
    }

    /// What a new home must know of the keys that move to it; `moved` is asked
    /// with the key and the first epoch of the tenure its row was made in.
    pub fn hand_over(&self, moved: impl Fn(&TaskId, u64) -> bool) -> Vec<Record> {
        let moved = self.rows.values().filter(|row| moved(&row.claim.id, row.since));
        moved.flat_map(Row::records).collect()
    }

    /// Drops what was claimed in a tenure that has ended; `since` tells the
    /// first epoch of the tenure of a key, if this is its home.
    pub fn drop_moved(&mut self, since: impl Fn(&TaskId) -> Option<u64>) {
        self.rows.retain(|id, row| {
            let keep = since(id) == Some(row.since);
            if !keep {
                self.bytes -= weight(&row.claim);
            }
            keep
        });
    }

    /// Drops what has been kept for its time.
    pub fn expire(&mut self, now: Now) {
        while let Some(id) = self.sweep.pop(now.uptime) {
            if self.rows.get(&id).is_some_and(|row| row.until <= now.uptime) {
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

    /// Memory of the rows, bytes.
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

    /// A call can't have lasted this long: its offer was held up on the way.
    fn is_stale(&self, claim: &Claim, now: Now) -> bool {
        let longest = (self.limits.max_call_time + self.limits.clock_skew).as_millis() as u64;
        claim.received_ms.saturating_add(longest) < now.wall_ms
    }

    /// Whether less than a share of the room is left.
    fn is_full(&self, claim: &Claim, share: usize) -> bool {
        let room = |all: usize| all - all * share / 100;
        self.rows.len() >= room(self.limits.max_entries)
            || self.bytes + weight(claim) > room(self.limits.max_bytes)
    }

    fn skew(&self) -> u64 {
        self.limits.clock_skew.as_millis() as u64
    }

    /// Writes the claim into the row of its key; who holds it and what is
    /// barred stay as they were.
    fn put(&mut self, claim: Claim, since: u64, now: Now) -> &mut Row {
        let until = now.uptime + self.limits.retention;
        self.sweep.push(until, claim.id.clone());
        match self.rows.entry(claim.id.clone()) {
            Entry::Occupied(row) => {
                let row = row.into_mut();
                row.claim = claim;
                row.until = until;
                row
            }
            Entry::Vacant(free) => {
                self.bytes += weight(&claim);
                free.insert(Row { claim, since, until, holder: None, barred: None, certain: false })
            }
        }
    }

    fn remove(&mut self, id: &TaskId) {
        if let Some(row) = self.rows.remove(id) {
            self.bytes -= weight(&row.claim);
        }
    }
}

impl Row {
    /// The word to an executor that asks for what is held. `None` when the
    /// claim is free: an executor that asks anew has given its claim up.
    fn reclaim(&mut self, by: &Holder, claim: &Claim) -> Option<Grant> {
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
            Ordering::Greater => {
                self.holder = None;
                self.certain = true;
                None
            }
        }
    }

    fn held(&self, digest: Digest) -> Option<Grant> {
        let holder = self.holder.clone()?;
        if digest != Digest::UNKNOWN && digest != self.claim.digest {
            return Some(Grant::Conflict);
        }
        Some(Grant::Held(holder))
    }

    fn bar(&mut self, now: Now) {
        self.barred = Some(now.wall_ms);
        self.certain = true;
    }

    fn records(&self) -> impl Iterator<Item = Record> {
        let held = self.holder.clone().map(ClaimState::Held);
        let states = held.into_iter().chain(self.barred.map(ClaimState::Barred));
        states.map(|state| Record { claim: self.claim.clone(), state })
    }
}

fn is_unsure(tenure: Tenure, claim: &Claim) -> bool {
    let Tenure::Home { unknown_before: Some(before), .. } = tenure else { return false };
    claim.issued_ms.is_none_or(|issued| issued < before)
}

fn barred_before(tenure: Tenure) -> Option<u64> {
    let Tenure::Home { barred_before, .. } = tenure else { return None };
    barred_before
}

/// Whether a call began before a moment, or so little after it that the
/// clocks can't tell.
fn began_before(claim: &Claim, moment: Option<u64>, skew: u64) -> bool {
    moment.is_some_and(|at| claim.received_ms < at.saturating_add(skew))
}

fn not_home(tenure: Tenure) -> Grant {
    let (Tenure::NotHome { epoch } | Tenure::Home { epoch, .. }) = tenure;
    Grant::NotHome { epoch }
}

fn unsure() -> Grant {
    Grant::Unknown("the agents that knew the key were lost".into())
}

fn nothing(grant: Grant) -> KeyInfo {
    KeyInfo { grant, task_count: None }
}

/// Memory of one row with its place in the sweep, bytes.
fn weight(claim: &Claim) -> usize {
    size_of::<Row>() + 2 * size_of::<TaskId>() + claim.id.key.len() + size_of::<Duration>()
}
