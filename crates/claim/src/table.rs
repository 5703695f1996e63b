use std::{
    collections::{HashMap, hash_map::Entry},
    mem::size_of,
    time::Duration,
};

use base::{TaskId, invariant};

use crate::{Claim, Grant, Holder, Limits, Now, Record, Release, Tenure, sweep::Sweep};

/// Share of the room that only bars may use.
const BAR_SHARE: usize = 10;

/// The claims a home has granted, and the keys it has barred.
pub struct Table {
    limits: Limits,
    rows: HashMap<TaskId, Row>,
    sweep: Sweep,
    bytes: usize,
}

struct Row {
    claim: Claim,
    /// tenure the row was made in
    since: u64,
    until: Duration,
    state: State,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Held(Holder),
    /// calls begun before this unix time, in milliseconds, may not start it
    Barred(u64),
}

/// What a home knows of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    pub grant: Grant,
    /// tasks of the submission, when the key is known
    pub count: Option<u32>,
}

impl Row {
    fn record(&self) -> Option<Record> {
        let State::Held(holder) = &self.state else { return None };
        Some(Record { claim: self.claim.clone(), holder: holder.clone(), epoch: self.since })
    }
}

impl Table {
    pub fn new(limits: Limits) -> Self {
        Self { limits, rows: HashMap::new(), sweep: Sweep::default(), bytes: 0 }
    }

    /// Gives the claim to the first executor that asks.
    pub fn claim(&mut self, tenure: Tenure, by: &Holder, claim: Claim, now: Now) -> Grant {
        let Tenure::Home { epoch, since, .. } = tenure else { return not_home(tenure) };
        if self.is_stale(&claim, now) {
            return Grant::Barred;
        }
        let skew = self.limits.skew.as_millis() as u64;
        match self.current(&claim.id, since) {
            None if is_unsure(tenure, &claim) => return unsure(),
            None => {}
            Some(Row { claim: held, state: State::Held(holder), .. }) => {
                if held.digest != claim.digest {
                    return Grant::Conflict;
                }
                if holder != by {
                    return Grant::Held(holder.clone());
                }
                // an older one overtaken by a newer one was given up
                if claim.ask < held.ask {
                    return Grant::Barred;
                }
                held.ask = claim.ask;
                return Grant::Granted { epoch };
            }
            Some(Row { state: State::Barred(at), .. })
                if claim.started < at.saturating_add(skew) =>
            {
                return Grant::Barred;
            }
            Some(_) => {}
        }
        if self.is_full(&claim, BAR_SHARE) {
            return Grant::Full;
        }
        self.put(claim, since, State::Held(by.clone()), now);
        Grant::Granted { epoch }
    }

    /// Takes back a claim that its executor gave up before the start.
    pub fn release(
        &mut self,
        tenure: Tenure,
        by: &Holder,
        claim: &Claim,
        release: Release,
        now: Now,
    ) {
        let Tenure::Home { since, .. } = tenure else { return };
        if let Some(row) = self.current(&claim.id, since) {
            let held = matches!(&row.state, State::Held(holder) if holder == by);
            if !held || row.claim.ask != claim.ask {
                return;
            }
        } else if is_unsure(tenure, claim) {
            return;
        }
        match release {
            Release::Free => self.remove(&claim.id),
            // no more room than the claim itself had
            Release::Bar => self.put(claim.clone(), since, State::Barred(now.wall), now),
        }
    }

    /// Tells who holds the claim, and bars every call begun so far if nobody
    /// does.
    pub fn bar(&mut self, tenure: Tenure, claim: Claim, now: Now) -> Found {
        let found = self.look(tenure, &claim);
        let Tenure::Home { since, .. } = tenure else { return found };
        if !matches!(found.grant, Grant::Free | Grant::Barred) {
            return found;
        }
        if self.is_full(&claim, 0) {
            return Found { grant: Grant::Full, ..found };
        }
        let count = found.count;
        let claim = Claim { count: claim.count.max(count.unwrap_or(0)), ..claim };
        self.put(claim, since, State::Barred(now.wall), now);
        Found { grant: Grant::Barred, count }
    }

    /// Tells who holds the claim.
    pub fn look(&mut self, tenure: Tenure, claim: &Claim) -> Found {
        let Tenure::Home { since, .. } = tenure else { return nothing(not_home(tenure)) };
        let skew = self.limits.skew.as_millis() as u64;
        let Some(row) = self.current(&claim.id, since) else {
            return nothing(if is_unsure(tenure, claim) { unsure() } else { Grant::Free });
        };
        let grant = match &row.state {
            State::Held(holder) => Grant::Held(holder.clone()),
            State::Barred(at) if claim.started < at.saturating_add(skew) => Grant::Barred,
            State::Barred(_) => Grant::Free,
        };
        Found { grant, count: Some(row.claim.count) }
    }

    /// Takes over a claim that was granted by an earlier home.
    pub fn adopt(&mut self, record: Record, since: u64, now: Now) {
        let Record { claim, holder, .. } = record;
        if let Some(Row { state: State::Held(known), .. }) = self.current(&claim.id, since) {
            invariant!(*known == holder, "{} is held by {known:?} and {holder:?}", claim.id);
            return;
        }
        self.put(claim, since, State::Held(holder), now);
    }

    /// Claims that a new home must know of; `moved` is asked with the key and
    /// the first epoch of the tenure its claim was made in.
    pub fn hand_over(&self, moved: impl Fn(&TaskId, u64) -> bool) -> Vec<Record> {
        let moved = self.rows.iter().filter(|(id, row)| moved(id, row.since));
        moved.filter_map(|(_, row)| row.record()).collect()
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
        while let Some(id) = self.sweep.pop(now.tick) {
            if self.rows.get(&id).is_some_and(|row| row.until <= now.tick) {
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
        let longest = (self.limits.call + self.limits.skew).as_millis() as u64;
        claim.started.saturating_add(longest) < now.wall
    }

    /// Whether less than a share of the room is left.
    fn is_full(&self, claim: &Claim, share: usize) -> bool {
        let room = |all: usize| all - all * share / 100;
        self.rows.len() >= room(self.limits.entries)
            || self.bytes + weight(claim) > room(self.limits.bytes)
    }

    fn put(&mut self, claim: Claim, since: u64, state: State, now: Now) {
        let until = now.tick + self.limits.retention;
        let id = claim.id.clone();
        self.sweep.push(until, id.clone());
        self.bytes += weight(&claim);
        let row = Row { claim, since, until, state };
        match self.rows.entry(id) {
            Entry::Occupied(mut old) => {
                let old = old.insert(row);
                self.bytes -= weight(&old.claim);
            }
            Entry::Vacant(free) => {
                free.insert(row);
            }
        }
    }

    fn remove(&mut self, id: &TaskId) {
        if let Some(row) = self.rows.remove(id) {
            self.bytes -= weight(&row.claim);
        }
    }
}

fn is_unsure(tenure: Tenure, claim: &Claim) -> bool {
    let Tenure::Home { unsure_before: Some(before), .. } = tenure else { return false };
    claim.issued.is_none_or(|issued| issued < before)
}

fn not_home(tenure: Tenure) -> Grant {
    let (Tenure::NotHome { epoch } | Tenure::Home { epoch, .. }) = tenure;
    Grant::NotHome { epoch }
}

fn unsure() -> Grant {
    Grant::Unknown("the agents that knew the key were lost".into())
}

fn nothing(grant: Grant) -> Found {
    Found { grant, count: None }
}

/// Memory of one row with its place in the sweep, bytes.
fn weight(claim: &Claim) -> usize {
    size_of::<Row>() + 2 * size_of::<TaskId>() + claim.id.key.len() + size_of::<Duration>()
}
