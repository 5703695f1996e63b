use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Name;

/// Time over which the use of a team is averaged.
const WINDOW: Duration = Duration::from_secs(1);
/// A team below this rate, in tasks a second, is not counted as active.
const ACTIVE: f64 = 0.1;
/// Use over its share that a team may reach before it counts as over.
const SLACK: f64 = 1.1;

/// What a team may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entitled {
    /// share beside the other teams
    pub weight: f64,
    /// task starts a second through this entry
    pub quota: Option<f64>,
}

/// What each team has taken lately, in tasks a second.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    teams: HashMap<Name, Use>,
}

#[derive(Clone, Copy, Debug)]
struct Use {
    rate: f64,
    weight: f64,
    at: Instant,
}

impl Shares {
    /// Notes admitted tasks.
    pub fn add(&mut self, team: &Name, weight: f64, tasks: usize, now: Instant) {
        let seen = self.teams.entry(team.clone()).or_insert(Use { rate: 0.0, weight, at: now });
        seen.rate = seen.rate_at(now) + tasks as f64 / WINDOW.as_secs_f64();
        seen.weight = weight;
        seen.at = now;
    }

    /// Use of a team over what it is entitled to; 1 is all of it.
    pub fn ratio(&self, team: &Name, entitled: Entitled, now: Instant) -> f64 {
        let Some(seen) = self.teams.get(team) else { return 0.0 };
        let most = entitled.quota.unwrap_or_else(|| self.fair(entitled.weight, now));
        seen.rate_at(now) / (most * SLACK).max(f64::MIN_POSITIVE)
    }

    /// Time until a use falls back to what it is entitled to.
    pub fn time_to_share(ratio: f64) -> Duration {
        WINDOW.mul_f64(ratio.max(1.0).ln())
    }

    /// The part of all use that a weight stands for among the active teams.
    fn fair(&self, weight: f64, now: Instant) -> f64 {
        let active = || self.teams.values().filter(|u| u.rate_at(now) > ACTIVE);
        let rate: f64 = active().map(|u| u.rate_at(now)).sum();
        let weights: f64 = active().map(|u| u.weight).sum();
        rate * weight / weights.max(weight)
    }
}

impl Use {
    fn rate_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.rate * (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }
}
