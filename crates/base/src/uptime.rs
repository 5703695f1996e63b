use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the machine booted, including time in suspend.
pub type Uptime = Duration;

/// Reads `CLOCK_BOOTTIME`, which keeps counting while the machine is suspended.
pub fn uptime() -> Uptime {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
