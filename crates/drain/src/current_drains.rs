use std::{
    collections::BTreeMap,
    mem,
    sync::{Mutex, MutexGuard, PoisonError},
};

use base::{Event, Name};

use crate::{DrainedCentre, Drains};

/// Most drained data centres that are kept. Every heartbeat carries all of them.
pub const MAX_CENTRES: usize = 64;

/// The drained data centres in force in a process: the newest state offered to it.
#[derive(Debug, Default)]
pub struct CurrentDrains {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    drains: Drains,
    /// data centres of the newest state beyond [`MAX_CENTRES`]
    ignored: usize,
}

impl CurrentDrains {
    pub fn get(&self) -> Drains {
        self.state().drains.clone()
    }

    pub fn is_drained(&self, centre: &str) -> bool {
        self.state().drains.centres.contains_key(centre)
    }

    /// Number of drained data centres.
    pub fn len(&self) -> usize {
        self.state().drains.centres.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies a state if it is newer than the one in force. Of an older one only
    /// the times at which the same drains were first seen are taken.
    pub fn offer(&self, offered: &Drains) {
        let mut state = self.state();
        if offered.as_of <= state.drains.as_of {
            return keep_earliest(&mut state.drains.centres, &offered.centres);
        }
        let (mut centres, ignored) = bounded(&offered.centres);
        keep_earliest(&mut centres, &state.drains.centres);
        let next = Drains { as_of: offered.as_of, centres };
        let before = mem::replace(&mut state.drains, next);
        log_changes(&before, &state.drains);
        if ignored > mem::replace(&mut state.ignored, ignored) {
            Event::DrainIgnored.log(format_args!(
                "{ignored} data centres beyond the {MAX_CENTRES} drained first are not drained"
            ));
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The data centres drained first, up to [`MAX_CENTRES`], and the number of the
/// others. Every process keeps the same ones, because the order is that of the
/// versions of their rows.
fn bounded(centres: &BTreeMap<Name, DrainedCentre>) -> (BTreeMap<Name, DrainedCentre>, usize) {
    let mut named: Vec<_> = centres.iter().filter(|(name, _)| !name.is_empty()).collect();
    named.sort_by_key(|(_, centre)| centre.version);
    let ignored = named.len().saturating_sub(MAX_CENTRES);
    let kept = named.into_iter().take(MAX_CENTRES);
    (kept.map(|(name, centre)| (name.clone(), *centre)).collect(), ignored)
}

/// Keeps the earlier `since_ms` of each drain that is in both with the same version.
fn keep_earliest(
    centres: &mut BTreeMap<Name, DrainedCentre>,
    others: &BTreeMap<Name, DrainedCentre>,
) {
    for (name, centre) in centres {
        if let Some(other) = others.get(name).filter(|o| o.version == centre.version) {
            centre.since_ms = centre.since_ms.min(other.since_ms);
        }
    }
}

fn log_changes(before: &Drains, after: &Drains) {
    for (name, centre) in &after.centres {
        if !before.centres.contains_key(name) {
            Event::DrainBegun.note(&[
                ("centre", (&**name).into()),
                ("version", centre.version.into()),
                ("since_ms", centre.since_ms.into()),
            ]);
        }
    }
    for name in before.centres.keys().filter(|n| !after.centres.contains_key(*n)) {
        Event::DrainEnded.note(&[("centre", (&**name).into()), ("as_of", after.as_of.into())]);
    }
}
