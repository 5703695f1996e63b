use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Name;

/// Time over which the use of a team is averaged.
const WINDOW: Duration = Duration::from_secs(1);
/// A team below this rate, in tasks a second, is not counted as active.
const ACTIVE: f64 = 0.1;

/// Share by which sums of rates may be off.
const ROUNDING: f64 = 1e-6;

/// What a team may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entitlement {
    /// share beside the other teams
    pub weight: f64,
    /// task starts a second through this entry
    pub quota: Option<f64>,
}

/// What each team has asked for and taken lately, in tasks a second.
#[derive(Clone, Debug, Default)]
pub struct TeamUsage {
    teams: HashMap<Name, Use>,
}

#[derive(Clone, Copy, Debug)]
struct Use {
    asked: f64,
    taken: f64,
    weight: f64,
    at: Instant,
}

impl TeamUsage {
    /// Notes tasks that a team asks for.
    pub fn ask(&mut self, team: &Name, weight: f64, tasks: usize, now: Instant) {
        let unseen = Use { asked: 0.0, taken: 0.0, weight, at: now };
        let seen = self.teams.entry(team.clone()).or_insert(unseen);
        *seen = seen.at(now);
        seen.asked += tasks as f64 / WINDOW.as_secs_f64();
        seen.weight = weight;
    }

    /// Notes that tasks asked for were admitted.
    pub fn take(&mut self, team: &Name, tasks: usize) {
        if let Some(seen) = self.teams.get_mut(team) {
            seen.taken += tasks as f64 / WINDOW.as_secs_f64();
        }
    }

    /// What a team has taken over what it is entitled to; 1 is all of it.
    pub fn ratio(&self, team: &Name, entitled: Entitlement, now: Instant) -> f64 {
        let Some(seen) = self.teams.get(team) else { return 0.0 };
        let most = entitled.quota.unwrap_or_else(|| self.level(now) * entitled.weight);
        seen.at(now).taken / most.max(f64::MIN_POSITIVE)
    }

    /// Time until a use falls back to what it is entitled to.
    pub fn time_to_share(ratio: f64) -> Duration {
        WINDOW.mul_f64(ratio.max(1.0).ln())
    }

    /// Rate for each unit of weight when all that is taken is shared out
    /// fairly, and what a team does not ask for goes to the others.
    fn level(&self, now: Instant) -> f64 {
        let active = self.teams.values().map(|u| u.at(now)).filter(|u| u.asked > ACTIVE);
        let mut active: Vec<Use> = active.collect();
        if active.len() < 2 {
            return f64::INFINITY;
        }
        active.sort_unstable_by(|a, b| a.want().total_cmp(&b.want()));
        let mut left: f64 = active.iter().map(|u| u.taken).sum();
        let mut weights: f64 = active.iter().map(|u| u.weight).sum();
        for team in &active {
            if team.want() * weights > left * (1.0 + ROUNDING) {
                return left / weights;
            }
            left -= team.asked;
            weights -= team.weight;
        }
        f64::INFINITY
    }
}

impl Use {
    /// What it is at a later time.
    fn at(&self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.at);
        let kept = (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        Self { asked: self.asked * kept, taken: self.taken * kept, at: now, ..*self }
    }

    /// Rate asked for by unit of weight.
    fn want(&self) -> f64 {
        self.asked / self.weight.max(f64::MIN_POSITIVE)
    }
}
