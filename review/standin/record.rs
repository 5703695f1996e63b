//! What was sent, answered and run, with times since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// One run of a task on an executor.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub executor: String,
    /// labels of the executor at the start of the run
    pub labels: Vec<String>,
    pub start: Duration,
    pub end: Option<Duration>,
    pub how: &'static str,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, start: Instant::now(), runs: Arc::default() })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    pub fn begin_run(&self, run: Run) {
        let Run { task, number, executor, labels, .. } = &run;
        self.line(&format!("run of {task} number {number} starts on {executor} {labels:?}"));
        self.runs.lock().unwrap().push(run);
    }

    pub fn end_run(&self, task: &str, number: u64, executor: &str, how: &'static str) {
        self.line(&format!("run of {task} number {number} ends on {executor}: {how}"));
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let open = runs.iter_mut().find(|r| {
            r.task == task && r.number == number && r.executor == executor && r.end.is_none()
        });
        if let Some(run) = open {
            run.end = Some(now);
            run.how = how;
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}
