use std::{collections::HashMap, time::Duration};

use base::Name;

/// Runs younger than this are equally likely to have crashed their server.
const MIN_AGE: Duration = Duration::from_millis(10);

/// Age of a run that is as likely to have crashed its server as the server itself.
const NEUTRAL_AGE: Duration = Duration::from_millis(100);

/// Probabilities that jobs have crashed a backend server.
///
/// How long a task runs before it crashes its server is unknown, and most likely short.
/// With each order of magnitude of that time equally likely, the probability of a run
/// is inversely proportional to its age. The tasks of a job behave alike, so only its
/// newest run counts. The server may also have crashed by itself.
pub(crate) struct Suspicions {
    /// by queue and job
    weights: HashMap<(Name, Name), f64>,
    /// sum of the weights, and of the server itself
    total: f64,
}

impl Suspicions {
    /// `runs` are the active runs at the crash, each with its queue and job, and its age.
    pub fn new(runs: impl Iterator<Item = ((Name, Name), Duration)>) -> Self {
        let mut weights = HashMap::<_, f64>::new();
        for (job, age) in runs {
            let known = weights.entry(job).or_default();
            *known = known.max(weight(age));
        }
        let total = weight(NEUTRAL_AGE) + weights.values().sum::<f64>();
        Self { weights, total }
    }

    pub fn of(&self, job: &(Name, Name)) -> f64 {
        self.weights.get(job).map_or(0.0, |weight| weight / self.total)
    }
}

fn weight(age: Duration) -> f64 {
    age.max(MIN_AGE).as_secs_f64().recip()
}
