use std::{
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::Map;

use crate::now_ms;

/// Lines that wait for a slow reader of the output before further ones are dropped.
const MAX_QUEUED_LINES: usize = 2048;
/// Lines a second that a program writes at most; an entry of a large fleet takes
/// some 100 jobs a second with two lines each.
const MAX_LINES_PER_SECOND: u32 = 1000;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sends log lines to standard output, a JSON object each. Lines beyond the
/// rate, or that nobody reads in time, are dropped and counted.
///
/// # Errors
/// When logging was started before.
pub fn start_logging(program: &str, level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let program = program.to_owned();
    let (lines, waiting) = sync_channel(MAX_QUEUED_LINES);
    // a program that can't start a thread still works, without its log
    let _ = thread::Builder::new().name("log".to_owned()).spawn(move || write_out(&waiting));
    let rate = Mutex::new(RateLimiter::new());
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("base", level)
        .chain(fern::Output::call(move |record| queue(&program, record, &rate, &lines)))
        .apply()
}

/// Log lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn queue(
    program: &str,
    record: &Record<'_>,
    rate: &Mutex<RateLimiter>,
    lines: &SyncSender<String>,
) {
    if !rate.lock().unwrap_or_else(PoisonError::into_inner).try_acquire() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let sent = lines.try_send(line(program, record));
    if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = sent {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// One line: time, level, program, what happened, then the fields of the event.
fn line(program: &str, record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    fields.put("ts", now_ms().into());
    fields.put("level", record.level().as_str().to_lowercase().into());
    fields.put("program", program.into());
    let details = record.args().to_string();
    if !details.is_empty() {
        fields.put("details", details.into());
    }
    if record.key_values().visit(&mut fields).is_err() {
        fields.put("unreadable", true.into());
    }
    serde_json::Value::Object(fields.0).to_string()
}

struct Fields(Map<String, serde_json::Value>);

impl Fields {
    fn put(&mut self, name: &str, value: serde_json::Value) {
        self.0.insert(name.to_owned(), value);
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(n), _, _) => n.into(),
            (_, _, Some(b)) => b.into(),
            (_, Some(n), _) => n.into(),
            _ => value.to_string().into(),
        };
        self.put(key.as_str(), json);
        Ok(())
    }
}

/// Bounds the lines of each second.
struct RateLimiter {
    second: Instant,
    left: u32,
}

impl RateLimiter {
    fn new() -> Self {
        Self { second: Instant::now(), left: MAX_LINES_PER_SECOND }
    }

    fn try_acquire(&mut self) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            *self = Self::new();
        }
        self.left = self.left.saturating_sub(1);
        self.left > 0
    }
}

fn write_out(waiting: &Receiver<String>) {
    let mut told = 0;
    while let Ok(first) = waiting.recv() {
        let mut text = first;
        text.push('\n');
        for more in waiting.try_iter() {
            text.push_str(&more);
            text.push('\n');
        }
        let dropped = dropped_lines();
        if dropped > told {
            told = dropped;
            text.push_str(&format!("{{\"ts\":{},\"dropped_lines\":{dropped}}}\n", now_ms()));
        }
        // nobody reads the log any more
        if io::stdout().write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
