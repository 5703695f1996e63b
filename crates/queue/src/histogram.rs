use std::time::Duration;

/// Lower edge of the first bucket.
const MIN_RUN_TIME: Duration = Duration::from_micros(500);
const BUCKETS_PER_DOUBLING: f64 = 4.0;
const BUCKETS: usize = 76;
/// Share of its weight that an observation loses with each new one.
const DECAY: f64 = 1.0 / 256.0;

/// Histogram of run times with exponentially decaying weights.
#[derive(Clone, Debug)]
pub struct Histogram {
    weights: [f64; BUCKETS],
    total: f64,
    weighted_secs: f64,
}

impl Histogram {
    pub fn observe(&mut self, ran: Duration) {
        for weight in &mut self.weights {
            *weight *= 1.0 - DECAY;
        }
        self.weights[bucket(ran)] += 1.0;
        self.total = self.total * (1.0 - DECAY) + 1.0;
        self.weighted_secs = self.weighted_secs * (1.0 - DECAY) + ran.as_secs_f64();
    }

    /// Sum of the decayed weights of all observations.
    pub fn total_weight(&self) -> f64 {
        self.total
    }

    pub fn is_empty(&self) -> bool {
        self.total < 0.5
    }

    /// Mean run time, zero if nothing was observed.
    pub fn mean(&self) -> Duration {
        if self.is_empty() {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.weighted_secs / self.total)
    }

    /// Run time that a share of the observations, 0 to 1, does not exceed.
    pub fn quantile(&self, share: f64) -> Duration {
        if self.is_empty() {
            return Duration::ZERO;
        }
        let mut left = share * self.total;
        for (i, weight) in self.weights.iter().enumerate() {
            left -= weight;
            if left <= 0.0 {
                return bucket_middle(i);
            }
        }
        bucket_middle(BUCKETS - 1)
    }

    /// Expected remaining run time of a task that has run for `elapsed`.
    pub fn remaining_time(&self, elapsed: Duration) -> Duration {
        let mut weight = 0.0;
        let mut seconds = 0.0;
        for i in bucket(elapsed) + 1..BUCKETS {
            weight += self.weights[i];
            seconds += self.weights[i] * bucket_middle(i).as_secs_f64();
        }
        let past = elapsed.as_secs_f64();
        // longer than nearly all others: expect half of the elapsed time at least
        if weight <= self.total * DECAY {
            return self.mean().saturating_sub(elapsed).max(elapsed.mul_f64(0.5));
        }
        Duration::from_secs_f64((seconds / weight - past).max(0.0))
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self { weights: [0.0; BUCKETS], total: 0.0, weighted_secs: 0.0 }
    }
}

fn bucket(ran: Duration) -> usize {
    let doublings = (ran.as_secs_f64() / MIN_RUN_TIME.as_secs_f64()).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}

fn bucket_middle(bucket: usize) -> Duration {
    MIN_RUN_TIME.mul_f64(((bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING).exp2())
}
