use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Wall clock, unix milliseconds.
pub fn now_ms() -> u64 {
    since_epoch().as_millis() as u64
}

/// Wall clock, unix microseconds; what an incarnation number is made of.
pub fn clock_micros() -> u64 {
    since_epoch().as_micros() as u64
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
