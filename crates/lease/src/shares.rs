use std::{collections::HashMap, time::Duration};

use base::{Name, Uptime};

use crate::{CLASSES, Class};

/// Share of the capacity that each class but the most urgent one keeps while it
/// has tasks waiting, so that a flood of urgent tasks starves none.
const GUARANTEED_SHARE: f64 = 0.1;
/// Time constant of the average of the use.
const WINDOW: Duration = Duration::from_secs(1);
/// Windows after which the scale of the use is reset, far below the range of `f64`.
const MAX_WINDOWS: f64 = 30.0;
/// Use, in core-seconds, below which a data centre is forgotten.
const NEGLIGIBLE: f64 = 1e-6;

/// Recent use by class, and by data centre of the callers: core-seconds started,
/// by expected run time, with exponential decay. Use is kept multiplied by the
/// growth since `epoch`, so that decay needs no update: only ratios are compared.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    epoch: Uptime,
    classes: [f64; CLASSES],
    centres: HashMap<(Class, Name), f64>,
}

impl Shares {
    /// Records a start at `now`.
    pub fn record(&mut self, class: Class, centre: &Name, core_seconds: f64, now: Uptime) {
        if windows(self.epoch, now) > MAX_WINDOWS {
            self.rescale(now);
        }
        self.add(class, centre, core_seconds * self.weight(now));
    }

    /// Takes a start at `at` back that was refused.
    pub fn withdraw(&mut self, class: Class, centre: &Name, core_seconds: f64, at: Uptime) {
        self.add(class, centre, -core_seconds * self.weight(at));
    }

    /// Scaled use of each class.
    pub fn classes(&self) -> [f64; CLASSES] {
        self.classes
    }

    /// Scaled use of a class by the callers of a data centre.
    pub fn of_centre(&self, lane: &(Class, Name)) -> f64 {
        self.centres.get(lane).copied().unwrap_or_default()
    }

    /// Factor by which use at `now` is scaled.
    pub fn weight(&self, now: Uptime) -> f64 {
        windows(self.epoch, now).min(MAX_WINDOWS * 2.0).exp()
    }

    /// Share of each class in the recent use.
    pub fn ratios(&self) -> [f64; CLASSES] {
        let total: f64 = self.classes.iter().sum();
        self.classes.map(|used| if total > 0.0 { used / total } else { 0.0 })
    }

    fn add(&mut self, class: Class, centre: &Name, used: f64) {
        let of_class = &mut self.classes[class.index()];
        *of_class = (*of_class + used).max(0.0);
        let of_centre = self.centres.entry((class, centre.clone())).or_default();
        *of_centre = (*of_centre + used).max(0.0);
    }

    fn rescale(&mut self, now: Uptime) {
        let factor = (-windows(self.epoch, now)).exp();
        self.epoch = now;
        self.classes = self.classes.map(|used| used * factor);
        self.centres.retain(|_, used| {
            *used *= factor;
            *used > NEGLIGIBLE
        });
    }
}

/// The class that starts next, of those `waiting`: the least used of those below
/// their guaranteed share of the use, else the most urgent one.
pub(crate) fn next_class(used: &[f64; CLASSES], waiting: &[bool; CLASSES]) -> Option<usize> {
    let most_urgent = waiting.iter().position(|w| *w)?;
    let guaranteed = GUARANTEED_SHARE * used.iter().sum::<f64>();
    let below = (1..CLASSES).filter(|class| waiting[*class] && used[*class] < guaranteed);
    Some(below.min_by(|a, b| used[*a].total_cmp(&used[*b])).unwrap_or(most_urgent))
}

/// Core-seconds of a run; never 0, so that each start counts.
pub(crate) fn core_seconds(cpu: u32, run_time: Duration) -> f64 {
    f64::from(cpu.max(1)) / 1000.0 * run_time.as_secs_f64().max(0.001)
}

fn windows(from: Uptime, to: Uptime) -> f64 {
    to.saturating_sub(from).as_secs_f64() / WINDOW.as_secs_f64()
}
