//! What was sent, answered and run, with times since the start.

use std::{
    fmt::Write as _,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    origin: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
    runs: Mutex<Vec<Run>>,
}

#[derive(Clone)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub executor: String,
    pub start: Duration,
    /// when it ended, and how
    pub end: Option<(Duration, &'static str)>,
}

impl Record {
    pub fn new() -> Self {
        Self { origin: Instant::now(), lines: Mutex::default(), runs: Mutex::default() }
    }

    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    pub fn note(&self, line: impl Into<String>) {
        self.lines.lock().expect("no panic").push((self.now(), line.into()));
    }

    pub fn start(&self, task: &str, number: u64, executor: &str) -> usize {
        let mut runs = self.runs.lock().expect("no panic");
        let (task, executor) = (task.to_owned(), executor.to_owned());
        runs.push(Run { task, number, executor, start: self.now(), end: None });
        runs.len() - 1
    }

    pub fn end(&self, entry: usize, how: &'static str) {
        let now = self.now();
        self.runs.lock().expect("no panic")[entry].end = Some((now, how));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic").clone()
    }

    /// The whole record as text.
    pub fn text(&self) -> String {
        let mut lines = self.lines.lock().expect("no panic").clone();
        for run in self.runs() {
            let Run { task, number, executor, start, end } = run;
            lines.push((start, format!("run {task} number {number} starts on {executor}")));
            if let Some((at, how)) = end {
                lines.push((at, format!("run {task} number {number} on {executor} ends: {how}")));
            }
        }
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} {line}", at.as_secs_f64());
        }
        text
    }
}
