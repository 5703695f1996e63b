/// Settings of a retry budget.
#[derive(Clone, Debug)]
pub struct RetryBudgetSettings {
    /// further tries for each first try
    pub retry_ratio: f64,
    /// further tries that may be saved up
    pub max_saved: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { retry_ratio: 0.1, max_saved: 100.0 }
    }
}

/// Bounds further tries to a share of the first ones.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    saved: f64,
}

impl RetryBudget {
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { saved: settings.max_saved, settings }
    }

    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.settings.retry_ratio).min(self.settings.max_saved);
    }

    /// Takes a further try, if there is one.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
