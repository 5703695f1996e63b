use std::{
    cmp::Reverse,
    collections::{BinaryHeap, btree_map},
    iter::Peekable,
    time::Duration,
};

use base::Uptime;

use crate::{
    CLASSES, Resources,
    queue::{Queue, Slot, Waiting},
    shares::{Shares, core_seconds, next_class},
};

/// Multiple of their expected run time that runs take at most, as estimates are too
/// low by up to 40 %: with it is judged whether the callers of a data centre might
/// miss their latest starts.
const LONGEST_RUN_TIME: f64 = 1.4;

/// Expected use of a backend server over time by its runs.
#[derive(Clone, Debug)]
pub(crate) struct Occupancy {
    /// when the next run may start
    at: Uptime,
    capacity: Resources,
    free: Resources,
    /// expected ends of the runs, and what they use
    ends: BinaryHeap<ExpectedEnd>,
    /// those that a run waits for, kept to save allocations
    ended: Vec<ExpectedEnd>,
}

/// Expected end of a run, and the millicores, memory and accelerators it uses.
type ExpectedEnd = Reverse<(Uptime, u32, u32, u32)>;

impl Occupancy {
    pub fn new(at: Uptime, capacity: Resources, free: Resources) -> Self {
        Self { at, capacity, free, ends: BinaryHeap::new(), ended: Vec::new() }
    }

    pub fn add_run(&mut self, end: Uptime, resources: Resources) {
        let Resources { cpu, memory, gpu } = resources;
        self.ends.push(Reverse((end, cpu, memory, gpu)));
    }

    /// Waits until `resources` are free; `None`, and no change, if that is after
    /// `latest`.
    fn wait_for(&mut self, resources: Resources, latest: Uptime) -> Option<Uptime> {
        if self.at <= latest && resources.fits(self.free) {
            return Some(self.at);
        }
        let (at, free) = (self.at, self.free);
        self.ended.clear();
        while !resources.fits(self.free) && self.at <= latest {
            let Some(run) = self.ends.pop() else {
                self.at = Uptime::MAX;
                break;
            };
            let Reverse((end, cpu, memory, gpu)) = run;
            self.ended.push(run);
            self.at = self.at.max(end);
            self.free = self.free.plus(Resources { cpu, memory, gpu });
        }
        if self.at <= latest && resources.fits(self.free) {
            return Some(self.at);
        }
        (self.at, self.free) = (at, free);
        self.ends.extend(self.ended.drain(..));
        None
    }

    /// When `resources` will be free.
    fn free_at(&self, resources: Resources) -> Uptime {
        let mut free = self.free;
        if resources.fits(free) {
            return self.at;
        }
        for Reverse((end, cpu, memory, gpu)) in self.ends.clone().into_sorted_vec().iter().rev() {
            free = free.plus(Resources { cpu: *cpu, memory: *memory, gpu: *gpu });
            if resources.fits(free) {
                return self.at.max(*end);
            }
        }
        Uptime::MAX
    }
}

/// A queued run in the order of starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Planned {
    pub slot: Slot,
    pub resources: Resources,
    /// `None` if it can't start by its latest start
    pub start: Option<Uptime>,
}

/// Order in which queued runs start, and when, if nothing else arrives.
pub(crate) struct Plan<'a> {
    lanes: Vec<PlanLane<'a>>,
    classes: [ClassQueue; CLASSES],
    used: [f64; CLASSES],
    shares: &'a Shares,
    occupancy: Occupancy,
    /// ratio of run times to estimates
    slowness: f64,
}

/// Queued runs of one class for callers of one data centre that have no place in
/// the order yet.
struct PlanLane<'a> {
    class: usize,
    used: f64,
    runs: Peekable<btree_map::Iter<'a, Slot, Waiting>>,
}

/// All queued runs of a class by latest start; empty while callers of one data
/// centre wait.
#[derive(Default)]
struct ClassQueue {
    /// with the millicores of those before
    runs: Vec<(Slot, f64)>,
    /// millicores of those that have a place in the order
    placed: f64,
    /// expected run time, weighted by millicores
    run_time: Duration,
}

impl<'a> Plan<'a> {
    /// The order of the runs in `queue`, if runs take `run_factor` times their
    /// expected run time.
    pub fn new(
        queue: &'a Queue,
        shares: &'a Shares,
        occupancy: Occupancy,
        slowness: f64,
        run_factor: f64,
    ) -> Self {
        let lanes: Vec<PlanLane<'a>> = queue
            .lanes()
            .map(|(key, lane)| PlanLane {
                class: key.0.index(),
                used: shares.of_centre(key),
                runs: lane.iter().peekable(),
            })
            .collect();
        let classes =
            std::array::from_fn(|class| ClassQueue::new(queue, class, slowness * LONGEST_RUN_TIME));
        Self {
            lanes,
            classes,
            used: shares.classes(),
            shares,
            occupancy,
            slowness: slowness * run_factor,
        }
    }

    /// The next run in the order.
    pub fn next(&mut self) -> Option<Planned> {
        let waiting = self.waiting();
        let class = next_class(&self.used, &waiting)?;
        let index = self.next_lane(class)?;
        let lane = &mut self.lanes[index];
        let (slot, waiting) = lane.runs.next()?;
        let millicores = f64::from(waiting.resources.cpu);
        self.classes[class].placed += millicores;
        let start = self.occupancy.wait_for(waiting.resources, slot.0);
        if let Some(start) = start {
            let run_time = waiting.estimate.mul_f64(self.slowness);
            self.occupancy.free = self.occupancy.free.minus(waiting.resources);
            self.occupancy.add_run(start + run_time, waiting.resources);
            let used = core_seconds(waiting.resources.cpu, run_time) * self.shares.weight(start);
            lane.used += used;
            self.used[class] += used;
        }
        Some(Planned { slot: *slot, resources: waiting.resources, start })
    }

    /// Expected time of the start of one more run of each class that needs
    /// `resources`.
    pub fn class_starts(mut self, resources: Resources) -> [Uptime; CLASSES] {
        let mut starts = [None; CLASSES];
        loop {
            let waiting = self.waiting();
            for class in 0..CLASSES {
                let mut with_it = waiting;
                with_it[class] = true;
                // behind all those of its class
                if starts[class].is_none()
                    && !waiting[class]
                    && next_class(&self.used, &with_it) == Some(class)
                {
                    starts[class] = Some(self.occupancy.free_at(resources));
                }
            }
            if starts.iter().all(Option::is_some) || self.next().is_none() {
                return starts.map(|start| start.unwrap_or(self.occupancy.at));
            }
        }
    }

    fn waiting(&mut self) -> [bool; CLASSES] {
        let mut waiting = [false; CLASSES];
        for lane in &mut self.lanes {
            waiting[lane.class] |= lane.runs.peek().is_some();
        }
        waiting
    }

    /// The lane of a class whose first run is next: by latest start, unless the
    /// lane with the least use would then miss its own.
    fn next_lane(&mut self, class: usize) -> Option<usize> {
        let mut earliest: Option<(Slot, usize)> = None;
        let mut least_used: Option<(f64, Slot, usize)> = None;
        for (i, lane) in self.lanes.iter_mut().enumerate().filter(|(_, l)| l.class == class) {
            let Some((slot, _)) = lane.runs.peek() else { continue };
            if earliest.is_none_or(|(first, _)| **slot < first) {
                earliest = Some((**slot, i));
            }
            if least_used.is_none_or(|(used, ..)| lane.used < used) {
                least_used = Some((lane.used, **slot, i));
            }
        }
        let ((_, first), (_, slot, least)) = (earliest?, least_used?);
        if first == least {
            return Some(first);
        }
        let delay = self.classes[class].delay(slot, self.occupancy.capacity);
        Some(if self.occupancy.at + delay > slot.0 { least } else { first })
    }
}

impl ClassQueue {
    fn new(queue: &Queue, class: usize, slowness: f64) -> Self {
        let lanes = || queue.lanes().filter(|(key, _)| key.0.index() == class).map(|(_, l)| l);
        if lanes().count() < 2 {
            return Self::default();
        }
        let mut all: Vec<(Slot, Waiting)> =
            lanes().flat_map(|lane| lane.iter().map(|(slot, w)| (*slot, *w))).collect();
        all.sort_unstable_by_key(|(slot, _)| *slot);
        let mut ahead = 0.0;
        let mut work = 0.0;
        let runs = all
            .into_iter()
            .map(|(slot, waiting)| {
                let before = ahead;
                ahead += f64::from(waiting.resources.cpu);
                work += f64::from(waiting.resources.cpu) * waiting.estimate.as_secs_f64();
                (slot, before)
            })
            .collect();
        let run_time = Duration::from_secs_f64(work / f64::max(ahead, 1.0) * slowness);
        Self { runs, placed: 0.0, run_time }
    }

    /// Expected delay of a run by those with earlier latest starts that have no
    /// place in the order yet.
    fn delay(&self, slot: Slot, capacity: Resources) -> Duration {
        let Ok(index) = self.runs.binary_search_by_key(&slot, |(s, _)| *s) else {
            return Duration::ZERO;
        };
        let ahead = (self.runs[index].1 - self.placed).max(0.0);
        self.run_time.mul_f64(ahead / f64::from(capacity.cpu.max(1)))
    }
}
