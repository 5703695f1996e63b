use std::{
    io::{self, Write},
    sync::{
        Mutex, OnceLock, PoisonError,
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
use serde::{Serializer, ser::SerializeMap};

use crate::now_ms;

/// Lines queued for a slow reader of the output; further ones are dropped.
const MAX_QUEUED_LINES: usize = 2048;
/// An entry of a large fleet handles some 100 jobs a second with two lines each.
const MAX_LINES_PER_SECOND: u32 = 1000;
/// Time in which lines are collected before they are written: a wake-up and a call of
/// the system for each line would cost more than formatting it.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the queued lines to be written at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static QUEUE: OnceLock<SyncSender<Queued>> = OnceLock::new();

/// What the thread that writes the log gets.
enum Queued {
    Line(String),
    /// asks for an answer once all lines before it are written
    Flush(SyncSender<()>),
}

/// Logs to standard output, one JSON object a line. Lines over the rate limit,
/// or that the reader doesn't keep up with, are dropped and counted. Lines are written
/// at most 50 ms after the event; a process that is killed loses those of that time.
///
/// # Errors
/// When a logger is already set.
pub fn start_logging(program: &str, level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let program = program.to_owned();
    let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
    let _ = QUEUE.set(lines.clone());
    // without the thread the program still works, but writes no log
    let _ = thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&queued));
    let limiter = Mutex::new(RateLimiter::new());
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("base", level)
        .chain(fern::Output::call(move |record| enqueue(&program, record, &limiter, &lines)))
        .apply()
}

/// Waits until the lines logged so far are written, at most for a second.
pub fn flush_log() {
    let (written, wait) = sync_channel(1);
    let sent = QUEUE.get().is_some_and(|queue| queue.try_send(Queued::Flush(written)).is_ok());
    if sent {
        // the output may be closed or not be read
        let _ = wait.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Log lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn enqueue(
    program: &str,
    record: &Record<'_>,
    limiter: &Mutex<RateLimiter>,
    lines: &SyncSender<Queued>,
) {
    if !limiter.lock().unwrap_or_else(PoisonError::into_inner).try_acquire() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let sent = lines.try_send(Queued::Line(format_line(program, record)));
    if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = sent {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Formats one line: time, level, program, details, then the fields of the event.
fn format_line(program: &str, record: &Record<'_>) -> String {
    let mut line = Vec::with_capacity(256);
    // writing to memory doesn't fail, and no field of an event does
    if write_fields(&mut line, program, record).is_err() {
        line = format!("{{\"ts\":{},\"unreadable\":true}}", now_ms()).into_bytes();
    }
    String::from_utf8(line).unwrap_or_default()
}

fn write_fields(
    line: &mut Vec<u8>,
    program: &str,
    record: &Record<'_>,
) -> Result<(), serde_json::Error> {
    let mut serializer = serde_json::Serializer::new(line);
    let mut map = serializer.serialize_map(None)?;
    map.serialize_entry("ts", &now_ms())?;
    map.serialize_entry("level", level_name(record.level()))?;
    map.serialize_entry("program", program)?;
    match record.args().as_str() {
        Some("") => {}
        _ => map.serialize_entry("details", record.args())?,
    }
    let mut fields = Fields { map: &mut map, error: None };
    // the visitor keeps its own error
    let _ = record.key_values().visit(&mut fields);
    if let Some(error) = fields.error {
        return Err(error);
    }
    map.end()
}

fn level_name(level: log::Level) -> &'static str {
    match level {
        log::Level::Error => "error",
        log::Level::Warn => "warn",
        log::Level::Info => "info",
        log::Level::Debug => "debug",
        log::Level::Trace => "trace",
    }
}

struct Fields<'a, M> {
    map: &'a mut M,
    error: Option<serde_json::Error>,
}

impl<'kvs, M: SerializeMap<Error = serde_json::Error>> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let key = key.as_str();
        let written = if let Some(text) = value.to_borrowed_str() {
            self.map.serialize_entry(key, text)
        } else if let Some(n) = value.to_u64() {
            self.map.serialize_entry(key, &n)
        } else if let Some(b) = value.to_bool() {
            self.map.serialize_entry(key, &b)
        } else if let Some(n) = value.to_f64() {
            self.map.serialize_entry(key, &n)
        } else {
            self.map.serialize_entry(key, &value.to_string())
        };
        written.map_err(|error| {
            self.error = Some(error);
            Error::msg("field can't be written")
        })
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

fn write_lines(queued: &Receiver<Queued>) {
    let mut reported = 0;
    while let Ok(first) = queued.recv() {
        if matches!(first, Queued::Line(_)) {
            thread::sleep(WRITE_INTERVAL);
        }
        let (mut text, mut flushed) = (String::new(), Vec::new());
        for next in std::iter::once(first).chain(queued.try_iter()) {
            match next {
                Queued::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Queued::Flush(written) => flushed.push(written),
            }
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
        for written in flushed {
            // the process may have waited long enough
            let _ = written.try_send(());
        }
    }
}
