/// Settings of a retry budget.
#[derive(Clone, Debug)]
pub struct RetryBudgetSettings {
    /// retries for each first attempt
    pub retry_ratio: f64,
    /// largest number of unused retries that is kept
    pub max_saved: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { retry_ratio: 0.1, max_saved: 100.0 }
    }
}

/// Limits retries to a share of the first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    balance: f64,
}

impl RetryBudget {
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { balance: settings.max_saved, settings }
    }

    /// Adds the share of a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.settings.retry_ratio).min(self.settings.max_saved);
    }

    /// Takes one retry; returns false if none is left.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
