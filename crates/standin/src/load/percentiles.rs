use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Histogram units per unit of a value.
const SCALE: f64 = 1e3;
const MAX_VALUE: u64 = 1 << 40;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Quantiles of a percentile curve.
const CURVE: [f64; 13] =
    [0.1, 0.25, 0.5, 0.75, 0.8, 0.9, 0.95, 0.975, 0.99, 0.995, 0.9975, 0.999, 1.0];

/// Percentiles of one measure.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Percentiles {
    pub count: u64,
    pub mean: f64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
    pub curve: Vec<Point>,
}

/// The value that a share of all values does not exceed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Point {
    pub share: f64,
    pub value: f64,
}

impl Percentiles {
    pub fn new(values: impl IntoIterator<Item = f64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_VALUE, SIGNIFICANT_DIGITS)
        else {
            return Self::default();
        };
        for value in values {
            histogram.saturating_record((value.max(0.0) * SCALE) as u64);
        }
        if histogram.is_empty() {
            return Self::default();
        }
        let at = |share: f64| histogram.value_at_quantile(share) as f64 / SCALE;
        Self {
            count: histogram.len(),
            mean: histogram.mean() / SCALE,
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / SCALE,
            curve: CURVE.into_iter().map(|share| Point { share, value: at(share) }).collect(),
        }
    }
}
