use serde::{Deserialize, Serialize};

/// Longest time over which arrivals are spread, seconds.
pub const MAX_SECONDS: f64 = 300.0;
/// Most arrivals of one run.
pub const MAX_ARRIVALS: usize = 1_000_000;

/// What callers send, and when; read from a JSON file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workload {
    pub service: String,
    pub seed: u64,
    /// time over which arrivals are spread
    pub seconds: f64,
    /// base load, as a share of what the backend servers can do
    pub load: f64,
    /// base arrivals a second over all classes, in place of `load`
    pub rate: Option<f64>,
    pub swings: Vec<Swing>,
    pub classes: Vec<Class>,
    pub teams: Vec<Team>,
    /// team to report separately from the others
    pub watched: Option<String>,
    pub bursts: Vec<Burst>,
    pub cancel: Option<Cancel>,
    /// one-way delay between callers and entries, added in both directions by this tool
    pub delay_ms: f64,
    /// slots of each backend server
    pub slots_each: usize,
    /// speed of each backend server
    pub speeds: Vec<f64>,
}

/// A rise of the rate to a peak, and back.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swing {
    pub at_s: f64,
    pub rise_s: f64,
    pub hold_s: f64,
    /// rate at the peak over the base rate
    pub factor: f64,
}

/// A class of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// also the name of the operation
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
    /// share of requests that declare a tenth or ten times their size
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

/// Additional arrivals of one class, spread evenly.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub class: String,
    pub at_s: f64,
    pub over_s: f64,
    pub count: usize,
}

/// Cancels every request of a class.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    pub class: String,
    /// how long after its send a request is cancelled
    pub after_ms: u64,
}

impl Workload {
    /// The first fault found in the workload.
    pub fn fault(&self) -> Option<String> {
        if !(self.seconds > 0.0 && self.seconds <= MAX_SECONDS) {
            return Some(format!("seconds must be in 0 to {MAX_SECONDS}"));
        }
        if self.speeds.is_empty() || self.speeds.iter().any(|s| *s <= 0.0) {
            return Some("speeds must hold at least one value, all above 0".to_owned());
        }
        if self.classes.is_empty() || self.teams.is_empty() {
            return Some("name at least one class and one team".to_owned());
        }
        if let Some(burst) = self.bursts.iter().find(|b| self.class(&b.class).is_none()) {
            return Some(format!("bursts: there is no class {}", burst.class));
        }
        let bad = self.classes.iter().find(|c| !(c.min_ms >= 0.0 && c.max_ms >= c.min_ms));
        if let Some(class) = bad {
            return Some(format!("class {}: min_ms to max_ms must be a range", class.name));
        }
        let rate = self.base_rate();
        (!rate.is_finite() || rate <= 0.0).then(|| format!("a rate of {rate} can't be sent"))
    }

    /// Index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }

    /// Slots of all backend servers.
    pub fn slots(&self) -> usize {
        self.slots_each * self.speeds.len()
    }

    /// Run time at speed 1 that all backend servers can do in a second, milliseconds.
    pub fn capacity_ms(&self) -> f64 {
        self.slots_each as f64 * self.speeds.iter().sum::<f64>() * 1e3
    }

    pub fn top_speed(&self) -> f64 {
        self.speeds.iter().copied().fold(0.0, f64::max)
    }

    /// Removes a class and keeps the rates of the others.
    pub fn remove_class(&mut self, name: &str) {
        let shares = |classes: &[Class]| classes.iter().map(|c| c.share).sum::<f64>();
        let rate = self.base_rate() / shares(&self.classes);
        self.classes.retain(|c| c.name != name);
        self.bursts.retain(|b| b.class != name);
        self.rate = Some(rate * shares(&self.classes));
    }

    /// Multiplies the rate of a team, keeps the rates of the others, and marks the
    /// team to be reported separately.
    pub fn boost_team(&mut self, name: &str, factor: f64) {
        let shares = |teams: &[Team]| teams.iter().map(|t| t.share).sum::<f64>();
        let rate = self.base_rate() / shares(&self.teams);
        for team in self.teams.iter_mut().filter(|t| t.name == name) {
            team.share *= factor;
        }
        self.rate = Some(rate * shares(&self.teams));
        self.watched = Some(name.to_owned());
    }

    /// Arrivals a second outside of swings.
    pub fn base_rate(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        let work: f64 = self.classes.iter().map(|c| c.share * c.work_ms()).sum();
        self.rate.unwrap_or(self.load * self.capacity_ms() * shares / work)
    }

    /// Arrivals a second at a time of the run.
    pub fn rate_at(&self, at: f64) -> f64 {
        let factor = self.swings.iter().map(|s| s.factor_at(at)).fold(1.0, f64::max);
        self.base_rate() * factor
    }

    /// Highest rate of the whole run.
    pub fn top_rate(&self) -> f64 {
        self.base_rate() * self.swings.iter().map(|s| s.factor).fold(1.0, f64::max)
    }
}

impl Swing {
    /// Time at which the rate is back at its base.
    pub fn end(&self) -> f64 {
        self.at_s + self.rise_s + self.hold_s + self.rise_s
    }

    /// Time range of the peak.
    pub fn peak(&self) -> std::ops::Range<f64> {
        let start = self.at_s + self.rise_s;
        start..start + self.hold_s
    }

    fn factor_at(&self, at: f64) -> f64 {
        let peak = self.peak();
        if peak.contains(&at) {
            return self.factor;
        }
        if at < self.at_s || at >= self.end() {
            return 1.0;
        }
        let edge = if at < peak.start { at - self.at_s } else { self.end() - at };
        1.0 + (self.factor - 1.0) * edge / self.rise_s
    }
}

impl Class {
    /// Mean run time at speed 1 of all tasks of one arrival, milliseconds.
    pub fn work_ms(&self) -> f64 {
        self.mean_ms() * self.tasks.max(1) as f64
    }

    fn mean_ms(&self) -> f64 {
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
            load: 0.5,
            rate: None,
            swings: Vec::new(),
            classes: vec![Class::default()],
            teams: vec![Team { name: "coop".to_owned(), share: 1.0 }],
            watched: None,
            bursts: Vec::new(),
            cancel: None,
            delay_ms: 0.0,
            slots_each: 8,
            speeds: vec![1.0],
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
