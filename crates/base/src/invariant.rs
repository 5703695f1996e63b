use std::{
    fmt,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};

use crate::Event;

static BROKEN: AtomicU64 = AtomicU64::new(0);
static FATAL: AtomicBool = AtomicBool::new(cfg!(debug_assertions));

/// Asserts an invariant: a violation is counted and logged, and panics in debug builds.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $($detail:tt)+) => {
        if !$holds {
            $crate::report_broken(format_args!($($detail)+));
        }
    };
}

/// Counts and logs a broken invariant; panics if [`panic_on_broken`] says so.
pub fn report_broken(detail: fmt::Arguments<'_>) {
    BROKEN.fetch_add(1, Ordering::Relaxed);
    Event::InvariantBroken.log(detail);
    assert!(!FATAL.load(Ordering::Relaxed), "invariant broken: {detail}");
}

/// Invariants broken since the process started.
pub fn broken_count() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// Sets whether a broken invariant panics; by default only in debug builds.
pub fn panic_on_broken(fatal: bool) {
    FATAL.store(fatal, Ordering::Relaxed);
}
