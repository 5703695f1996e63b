use std::time::Duration;

/// Run time at the lower edge of the first bucket.
const FIRST: Duration = Duration::from_micros(500);
const BUCKETS_PER_DOUBLING: f64 = 4.0;
const BUCKETS: usize = 76;
/// Weight that one observation loses with the next.
const DECAY: f64 = 1.0 / 256.0;

/// Run times observed, the newest weighing most.
#[derive(Clone, Debug)]
pub struct Histogram {
    weights: [f64; BUCKETS],
    total: f64,
    seconds: f64,
}

impl Histogram {
    pub fn observe(&mut self, ran: Duration) {
        for weight in &mut self.weights {
            *weight *= 1.0 - DECAY;
        }
        self.weights[bucket(ran)] += 1.0;
        self.total = self.total * (1.0 - DECAY) + 1.0;
        self.seconds = self.seconds * (1.0 - DECAY) + ran.as_secs_f64();
    }

    /// Observations, as far as they still count.
    pub fn total_weight(&self) -> f64 {
        self.total
    }

    pub fn is_empty(&self) -> bool {
        self.total < 0.5
    }

    /// Mean run time, zero when nothing was observed.
    pub fn mean(&self) -> Duration {
        if self.is_empty() {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.seconds / self.total)
    }

    /// Run time that a share of the observations stays under, 0 to 1.
    pub fn quantile(&self, share: f64) -> Duration {
        if self.is_empty() {
            return Duration::ZERO;
        }
        let mut left = share * self.total;
        for (i, weight) in self.weights.iter().enumerate() {
            left -= weight;
            if left <= 0.0 {
                return middle(i);
            }
        }
        middle(BUCKETS - 1)
    }

    /// Expected time left to a task that has run for `elapsed`.
    pub fn remaining_time(&self, elapsed: Duration) -> Duration {
        let mut weight = 0.0;
        let mut seconds = 0.0;
        for i in bucket(elapsed) + 1..BUCKETS {
            weight += self.weights[i];
            seconds += self.weights[i] * middle(i).as_secs_f64();
        }
        let past = elapsed.as_secs_f64();
        // longer than any other so far: as long again
        if weight <= self.total * DECAY {
            return self.mean().saturating_sub(elapsed).max(elapsed.mul_f64(0.5));
        }
        Duration::from_secs_f64((seconds / weight - past).max(0.0))
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self { weights: [0.0; BUCKETS], total: 0.0, seconds: 0.0 }
    }
}

fn bucket(ran: Duration) -> usize {
    let doublings = (ran.as_secs_f64() / FIRST.as_secs_f64()).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}

fn middle(bucket: usize) -> Duration {
    FIRST.mul_f64(((bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING).exp2())
}
