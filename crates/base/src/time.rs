use std::{
    fmt,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Wall clock, Unix time in milliseconds.
pub fn now_ms() -> u64 {
    since_epoch().as_millis() as u64
}

/// Wall clock, Unix time in microseconds; used as incarnation number.
pub fn now_us() -> u64 {
    since_epoch().as_micros() as u64
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Unix time in milliseconds, displayed as date and time in UTC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Utc(pub u64);

impl fmt::Display for Utc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.0 / 1000;
        let (year, month, day) = civil_date(seconds / 86_400);
        let (hour, minute) = (seconds / 3600 % 24, seconds / 60 % 60);
        let text =
            format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}Z", seconds % 60);
        f.pad(&text)
    }
}

/// Converts days since 1970-01-01 to year, month and day of the Gregorian calendar.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // counts in eras of 400 years, with years that start in March
    let shifted = days + 719_468;
    let (era, day) = (shifted / 146_097, shifted % 146_097);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    (era * 400 + year + u64::from(month <= 2), month, day)
}
