use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::Name;

/// Time constant of the moving averages of a team's rates.
const WINDOW: Duration = Duration::from_secs(1);
/// Rate in tasks per second below which a team is not counted as active.
const MIN_ACTIVE_RATE: f64 = 0.1;

/// Tolerance for rounding errors in sums of rates, relative.
const ROUNDING: f64 = 1e-6;

/// What a team may use of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entitlement {
    /// weight in the division among teams
    pub weight: f64,
    /// task starts per second through this entry
    pub quota: Option<f64>,
}

/// Recent rates of each team, requested and admitted, in tasks per second.
#[derive(Clone, Debug, Default)]
pub struct TeamUsage {
    teams: HashMap<Name, Usage>,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    requested_rate: f64,
    admitted_rate: f64,
    weight: f64,
    at: Instant,
}

impl TeamUsage {
    /// Counts tasks that a team requests.
    pub fn on_request(&mut self, team: &Name, weight: f64, tasks: usize, now: Instant) {
        let idle = Usage { requested_rate: 0.0, admitted_rate: 0.0, weight, at: now };
        let usage = self.teams.entry(team.clone()).or_insert(idle);
        *usage = usage.at(now);
        usage.requested_rate += tasks as f64 / WINDOW.as_secs_f64();
        usage.weight = weight;
    }

    /// Counts requested tasks as admitted.
    pub fn on_admitted(&mut self, team: &Name, tasks: usize) {
        if let Some(usage) = self.teams.get_mut(team) {
            usage.admitted_rate += tasks as f64 / WINDOW.as_secs_f64();
        }
    }

    /// Admitted rate of a team relative to what it is entitled to.
    pub fn ratio(&self, team: &Name, entitlement: Entitlement, now: Instant) -> f64 {
        let Some(usage) = self.teams.get(team) else { return 0.0 };
        let most = entitlement.quota.unwrap_or_else(|| self.fair_rate(now) * entitlement.weight);
        usage.at(now).admitted_rate / most.max(f64::MIN_POSITIVE)
    }

    /// Time until an admitted rate decays to what the team is entitled to.
    pub fn recovery_time(ratio: f64) -> Duration {
        WINDOW.mul_f64(ratio.max(1.0).ln())
    }

    /// Max-min fair rate per unit of weight: the total admitted rate is divided
    /// by weight, and what a team does not request goes to the others.
    fn fair_rate(&self, now: Instant) -> f64 {
        let active =
            self.teams.values().map(|u| u.at(now)).filter(|u| u.requested_rate > MIN_ACTIVE_RATE);
        let mut active: Vec<Usage> = active.collect();
        if active.len() < 2 {
            return f64::INFINITY;
        }
        active.sort_unstable_by(|a, b| a.demand().total_cmp(&b.demand()));
        let mut left: f64 = active.iter().map(|u| u.admitted_rate).sum();
        let mut weights: f64 = active.iter().map(|u| u.weight).sum();
        for team in &active {
            if team.demand() * weights > left * (1.0 + ROUNDING) {
                return left / weights;
            }
            left -= team.requested_rate;
            weights -= team.weight;
        }
        f64::INFINITY
    }
}

impl Usage {
    /// The usage decayed to a later time.
    fn at(&self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.at);
        let kept = (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        Self {
            requested_rate: self.requested_rate * kept,
            admitted_rate: self.admitted_rate * kept,
            at: now,
            ..*self
        }
    }

    /// Requested rate per unit of weight.
    fn demand(&self) -> f64 {
        self.requested_rate / self.weight.max(f64::MIN_POSITIVE)
    }
}
