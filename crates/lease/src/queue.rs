use std::{
    collections::{BTreeMap, BTreeSet, btree_map},
    time::Duration,
};

use base::{Name, Uptime};

use crate::{CLASSES, Class, Resources, RunKey};

/// Latest start of a queued run, and its key.
pub(crate) type Slot = (Uptime, RunKey);

/// What a queued run will use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Waiting {
    pub resources: Resources,
    pub estimate: Duration,
}

/// Queued runs of one class for callers of one data centre, by latest start.
pub(crate) type Lane = BTreeMap<Slot, Waiting>;

/// Queued runs by latest start, and by class and data centre of the caller.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    order: BTreeMap<Slot, Class>,
    /// none is empty
    lanes: BTreeMap<(Class, Name), Lane>,
    counts: [usize; CLASSES],
}

impl Queue {
    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Number of queued runs of each class.
    pub fn counts(&self) -> [usize; CLASSES] {
        self.counts
    }

    /// The run whose latest start comes first.
    pub fn first(&self) -> Option<Slot> {
        self.order.first_key_value().map(|(slot, _)| *slot)
    }

    /// All runs by latest start.
    pub fn iter(&self) -> impl Iterator<Item = Slot> + '_ {
        self.order.keys().copied()
    }

    pub fn lanes(&self) -> btree_map::Iter<'_, (Class, Name), Lane> {
        self.lanes.iter()
    }

    pub fn insert(&mut self, slot: Slot, class: Class, centre: &Name, waiting: Waiting) {
        if self.order.insert(slot, class).is_none() {
            self.counts[class.index()] += 1;
        }
        self.lanes.entry((class, centre.clone())).or_default().insert(slot, waiting);
    }

    pub fn remove(&mut self, slot: Slot) {
        let Some(class) = self.order.remove(&slot) else { return };
        self.counts[class.index()] -= 1;
        self.lanes.retain(|(lane_class, _), lane| {
            if *lane_class == class {
                lane.remove(&slot);
            }
            !lane.is_empty()
        });
    }

    /// Of the least urgent class, if it is less urgent than `class`, the run whose
    /// latest start comes last.
    pub fn last_behind(&self, class: Class) -> Option<Slot> {
        let least = self.lanes.last_key_value()?.0.0;
        let of_least = self.lanes.iter().filter(|((c, _), _)| *c == least && least > class);
        of_least.filter_map(|(_, lane)| lane.last_key_value()).map(|(slot, _)| *slot).max()
    }

    /// Takes all runs, by latest start.
    pub fn take_all(&mut self) -> BTreeSet<Slot> {
        self.lanes.clear();
        self.counts = [0; CLASSES];
        std::mem::take(&mut self.order).into_keys().collect()
    }
}
