//! The last counts of a stopping entry. The logger of a process is set once, so
//! this is the only test here.

use std::{
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
};

use actix::System;
use entry::{CountWriter, SharedCounts};
use futures::{FutureExt, future::LocalBoxFuture};
use log::{LevelFilter, Log, Metadata, Record};
use platform_client::{Error, ObjectStore, Result};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Lines;

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().unwrap_or_else(PoisonError::into_inner).push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Store that refuses every write.
struct FullStore;

impl ObjectStore for FullStore {
    fn load<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Result<Option<String>>> {
        async { Ok(None) }.boxed_local()
    }

    fn store<'a>(&'a self, _: &'a str, _: String) -> LocalBoxFuture<'a, Result<()>> {
        async { Err(Error::Unavailable("507 Insufficient Storage".to_owned())) }.boxed_local()
    }
}

#[test]
fn a_refused_last_write_is_logged() {
    log::set_logger(&Lines).expect("no logger is set yet");
    log::set_max_level(LevelFilter::Info);
    let counts = Arc::<SharedCounts>::default();
    let writer = CountWriter::new(Rc::new(FullStore), counts, "entry-1".into(), 1);
    System::new().block_on(writer.finish());
    let lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    assert!(lines.iter().any(|l| l.contains("507")), "{lines:?}");
}
