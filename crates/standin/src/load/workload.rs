use serde::{Deserialize, Serialize};

/// Longest time over which arrivals are spread, seconds.
pub const MAX_SECONDS: f64 = 300.0;
/// Most arrivals of one run.
pub const MAX_ARRIVALS: usize = 1_000_000;

/// What callers send, and when.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workload {
    pub service: String,
    pub seed: u64,
    /// time over which arrivals are spread
    pub seconds: f64,
    /// base arrivals a second, over all classes
    pub rate: f64,
    pub swings: Vec<Swing>,
    pub classes: Vec<Class>,
    pub teams: Vec<Team>,
    pub cancel: Option<Cancel>,
    /// one-way delay between callers and entries, added on both ways by this tool
    pub delay_ms: f64,
    /// slots of all backend servers together
    pub slots: usize,
    /// speed of the fastest backend server
    pub top_speed: f64,
    /// mean speed of the backend servers
    pub mean_speed: f64,
}

/// A rise of the rate to a crest, and back.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swing {
    pub at_s: f64,
    pub rise_s: f64,
    pub hold_s: f64,
    /// rate at the crest over the base rate
    pub factor: f64,
}

/// One kind of request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// also the operation
    pub name: String,
    /// weight among the arrivals
    pub share: f64,
    /// run times at speed 1, spread evenly over their logarithm
    pub min_ms: f64,
    pub max_ms: f64,
    pub deadline_ms: u64,
    /// share of requests with a key
    pub keyed: f64,
    /// share of requests that may run more than once
    pub repeatable: f64,
    /// share of requests that declare a size a tenth or ten times the truth
    pub misdeclared: f64,
    /// share of requests that run `straggler_factor` times longer than drawn
    pub stragglers: f64,
    pub straggler_factor: f64,
    /// tasks of a job; 0 sends single requests
    pub tasks: usize,
}

/// A team and its weight among the arrivals.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    pub name: String,
    pub share: f64,
}

/// A wave of cancellations: that many of the newest keyed requests, in a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    pub class: String,
    /// how long after its send a request is cancelled
    pub after_ms: u64,
}

impl Workload {
    /// What is wrong with it, if anything.
    pub fn fault(&self) -> Option<String> {
        if !(self.seconds > 0.0 && self.seconds <= MAX_SECONDS) {
            return Some(format!("seconds must be in 0 to {MAX_SECONDS}"));
        }
        if !(self.rate > 0.0 && self.rate.is_finite()) {
            return Some("rate must be above 0".to_owned());
        }
        if self.classes.is_empty() || self.teams.is_empty() {
            return Some("name at least one class and one team".to_owned());
        }
        let bad = self.classes.iter().find(|c| !(c.min_ms >= 0.0 && c.max_ms >= c.min_ms));
        bad.map(|c| format!("class {}: min_ms to max_ms must be a range", c.name))
    }

    /// Arrivals a second at a time of the run.
    pub fn rate_at(&self, at: f64) -> f64 {
        let factor = self.swings.iter().map(|s| s.factor_at(at)).fold(1.0, f64::max);
        self.rate * factor
    }

    /// Highest rate of the whole run.
    pub fn top_rate(&self) -> f64 {
        self.rate * self.swings.iter().map(|s| s.factor).fold(1.0, f64::max)
    }
}

impl Swing {
    /// When the rate is back at its base.
    pub fn end(&self) -> f64 {
        self.at_s + self.rise_s + self.hold_s + self.rise_s
    }

    /// The time at the full height of the crest.
    pub fn crest(&self) -> std::ops::Range<f64> {
        let start = self.at_s + self.rise_s;
        start..start + self.hold_s
    }

    fn factor_at(&self, at: f64) -> f64 {
        let crest = self.crest();
        if crest.contains(&at) {
            return self.factor;
        }
        if at < self.at_s || at >= self.end() {
            return 1.0;
        }
        let edge = if at < crest.start { at - self.at_s } else { self.end() - at };
        1.0 + (self.factor - 1.0) * edge / self.rise_s
    }
}

impl Class {
    /// Mean run time at speed 1, milliseconds.
    pub fn mean_ms(&self) -> f64 {
        let spread = (self.max_ms / self.min_ms.max(1e-9)).ln();
        let drawn = if self.min_ms <= 0.0 || spread < 1e-9 {
            (self.min_ms + self.max_ms) / 2.0
        } else {
            (self.max_ms - self.min_ms) / spread
        };
        drawn * (1.0 + self.stragglers * (self.straggler_factor - 1.0))
    }
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            service: "ledger".to_owned(),
            seed: 1,
            seconds: 10.0,
            rate: 100.0,
            swings: Vec::new(),
            classes: vec![Class::default()],
            teams: vec![Team { name: "coop".to_owned(), share: 1.0 }],
            cancel: None,
            delay_ms: 0.0,
            slots: 88,
            top_speed: 1.0,
            mean_speed: 1.0,
        }
    }
}

impl Default for Class {
    fn default() -> Self {
        Self {
            name: "balance".to_owned(),
            share: 1.0,
            min_ms: 50.0,
            max_ms: 50.0,
            deadline_ms: 10_000,
            keyed: 1.0,
            repeatable: 0.0,
            misdeclared: 0.0,
            stragglers: 0.0,
            straggler_factor: 1.0,
            tasks: 0,
        }
    }
}
