use std::{
    fmt,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};

use crate::Event;

static BROKEN: AtomicU64 = AtomicU64::new(0);
static FATAL: AtomicBool = AtomicBool::new(cfg!(debug_assertions));

/// Asserts what must always hold: counted and logged, fatal in tests.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $($detail:tt)+) => {
        if !$holds {
            $crate::report_broken(format_args!($($detail)+));
        }
    };
}

/// Counts a broken invariant, logs it, and panics where it is fatal.
pub fn report_broken(detail: fmt::Arguments<'_>) {
    BROKEN.fetch_add(1, Ordering::Relaxed);
    Event::InvariantBroken.log(detail);
    assert!(!FATAL.load(Ordering::Relaxed), "invariant broken: {detail}");
}

/// Invariants broken since the start of the process.
pub fn broken_count() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// Whether a broken invariant ends the process from now on.
pub fn panic_on_broken(fatal: bool) {
    FATAL.store(fatal, Ordering::Relaxed);
}
