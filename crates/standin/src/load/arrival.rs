use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::workload::{Class, MAX_ARRIVALS, Workload};

const MISDECLARED_FACTOR: f64 = 10.0;

/// One request or job to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// intended send time, from the start of the run
    pub at: Duration,
    /// index into the workload's classes
    pub class: usize,
    /// index into the workload's teams
    pub team: usize,
    /// run time at speed 1 of each task, milliseconds
    pub run_ms: Vec<f64>,
    pub declared_ms: u64,
    pub keyed: bool,
    pub repeatable: bool,
}

/// All arrivals of a workload, ordered by send time; deterministic for a seed.
pub fn plan(workload: &Workload) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(workload.seed);
    let top = workload.top_rate();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while arrivals.len() < MAX_ARRIVALS {
        // a Poisson process at the top rate, thinned to the current rate
        at += -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / top;
        if at >= workload.seconds {
            break;
        }
        if rng.random::<f64>() * top < workload.rate_at(at) {
            let class = weighted(workload.classes.iter().map(|c| c.share), &mut rng);
            arrivals.push(draw(workload, at, class, &mut rng));
        }
    }
    add_bursts(workload, &mut arrivals, &mut rng);
    arrivals
}

fn add_bursts(workload: &Workload, arrivals: &mut Vec<Arrival>, rng: &mut StdRng) {
    for burst in &workload.bursts {
        let Some(class) = workload.class(&burst.class) else { continue };
        for i in 0..burst.count.min(MAX_ARRIVALS.saturating_sub(arrivals.len())) {
            let at = burst.at_s + burst.over_s * i as f64 / burst.count as f64;
            arrivals.push(draw(workload, at, class, rng));
        }
    }
    arrivals.sort_by_key(|a| a.at);
}

fn draw(workload: &Workload, at: f64, class: usize, rng: &mut StdRng) -> Arrival {
    let team = weighted(workload.teams.iter().map(|t| t.share), rng);
    let kind = &workload.classes[class];
    let run_ms: Vec<f64> = (0..kind.tasks.max(1)).map(|_| run_time(kind, rng)).collect();
    let misdeclared = rng.random::<f64>() < kind.misdeclared;
    let wrong = if rng.random() { MISDECLARED_FACTOR } else { 1.0 / MISDECLARED_FACTOR };
    let declared = if misdeclared { run_ms[0] * wrong } else { run_ms[0] };
    Arrival {
        at: Duration::from_secs_f64(at),
        class,
        team,
        run_ms,
        declared_ms: declared as u64,
        keyed: rng.random::<f64>() < kind.keyed,
        repeatable: rng.random::<f64>() < kind.repeatable,
    }
}

fn run_time(class: &Class, rng: &mut StdRng) -> f64 {
    let place: f64 = rng.random();
    let drawn = if class.min_ms <= 0.0 {
        class.max_ms * place
    } else {
        class.min_ms * (class.max_ms / class.min_ms).powf(place)
    };
    let straggles = rng.random::<f64>() < class.stragglers;
    if straggles { drawn * class.straggler_factor } else { drawn }
}

fn weighted(shares: impl Iterator<Item = f64> + Clone, rng: &mut StdRng) -> usize {
    let total: f64 = shares.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let mut last = 0;
    for (i, share) in shares.enumerate() {
        last = i;
        left -= share;
        if left < 0.0 {
            break;
        }
    }
    last
}
