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

/// Lines queued for a slow reader of the output; further ones are dropped.
const MAX_QUEUED_LINES: usize = 2048;
/// An entry of a large fleet handles some 100 jobs a second with two lines each.
const MAX_LINES_PER_SECOND: u32 = 1000;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Logs to standard output, one JSON object a line. Lines over the rate limit,
/// or that the reader doesn't keep up with, are dropped and counted.
///
/// # Errors
/// When a logger is already set.
pub fn start_logging(program: &str, level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let program = program.to_owned();
    let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
    // without the thread the program still works, but writes no log
    let _ = thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&queued));
    let limiter = Mutex::new(RateLimiter::new());
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("base", level)
        .chain(fern::Output::call(move |record| enqueue(&program, record, &limiter, &lines)))
        .apply()
}

/// Log lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn enqueue(
    program: &str,
    record: &Record<'_>,
    limiter: &Mutex<RateLimiter>,
    lines: &SyncSender<String>,
) {
    if !limiter.lock().unwrap_or_else(PoisonError::into_inner).try_acquire() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let sent = lines.try_send(format_line(program, record));
    if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = sent {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Formats one line: time, level, program, details, then the fields of the event.
fn format_line(program: &str, record: &Record<'_>) -> String {
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

/// Limits the lines of each second.
struct RateLimiter {
    second_start: Instant,
    remaining: u32,
}

impl RateLimiter {
    fn new() -> Self {
        Self { second_start: Instant::now(), remaining: MAX_LINES_PER_SECOND }
    }

    fn try_acquire(&mut self) -> bool {
        if self.second_start.elapsed() >= Duration::from_secs(1) {
            *self = Self::new();
        }
        let is_allowed = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        is_allowed
    }
}

fn write_lines(queued: &Receiver<String>) {
    let mut reported = 0;
    while let Ok(first) = queued.recv() {
        let mut text = first;
        text.push('\n');
        for more in queued.try_iter() {
            text.push_str(&more);
            text.push('\n');
        }
        let dropped = dropped_lines();
        if dropped > reported {
            reported = dropped;
            text.push_str(&format!("{{\"ts\":{},\"dropped_lines\":{dropped}}}\n", now_ms()));
        }
        // the output was closed
        if io::stdout().write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
