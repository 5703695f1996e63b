/// Settings of a retry budget.
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// further tries for each first try
    pub share: f64,
    /// further tries that may be saved up
    pub most: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { share: 0.1, most: 100.0 }
    }
}

/// Bounds further tries to a share of the first ones.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    saved: f64,
}

impl RetryBudget {
    pub fn new(settings: BudgetSettings) -> Self {
        Self { saved: settings.most, settings }
    }

    /// Notes a first try.
    pub fn first(&mut self) {
        self.saved = (self.saved + self.settings.share).min(self.settings.most);
    }

    /// Takes a further try, if there is one.
    #[must_use]
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
