use std::{collections::HashMap, time::Duration};

use base::{Name, Uptime};

/// When tasks that may crash backend servers are no longer started.
#[derive(Clone, Debug)]
pub struct CrashSettings {
    /// crashes under a task after which it is given up, whatever caused them
    pub max_crashes: u32,
    /// sum of the suspicions from which a task is given up after two crashes
    pub conviction: f64,
    /// suspicion from which the tasks of a job run one at a time
    pub suspicion: f64,
    /// how long after a conviction suspects of the same queue are not started again
    pub caution: Duration,
    /// how long the crashes under a job are remembered
    pub retention: Duration,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            max_crashes: 3,
            conviction: 0.8,
            suspicion: 0.2,
            caution: Duration::from_secs(30),
            retention: Duration::from_secs(60),
        }
    }
}

impl CrashSettings {
    fn is_convicted(&self, task: TaskCrashes) -> bool {
        task.count >= 2 && task.suspicion >= self.conviction
    }

    fn is_given_up(&self, task: TaskCrashes) -> bool {
        task.count >= self.max_crashes || self.is_convicted(task)
    }
}

/// What is done with a task after a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// it runs again
    Retry,
    /// it runs again while no other task of its job does
    RetryAlone,
    /// it isn't started again, as others of its queue have crashed several servers
    Abandon,
    /// it fails
    Fail,
}

/// Crashes of backend servers by job.
///
/// All runs on a backend server end with it, most of them innocent. A task that was
/// active in several crashes has most likely caused them; one retry tells. While a queue
/// sends several jobs that crash servers, even that retry costs more than it is worth.
pub struct CrashHistory {
    settings: CrashSettings,
    jobs: HashMap<Name, JobCrashes>,
    /// end of the caution with each queue
    cautious_until: HashMap<Name, Uptime>,
}

struct JobCrashes {
    tasks: HashMap<u32, TaskCrashes>,
    is_suspect: bool,
    last_at: Uptime,
}

#[derive(Clone, Copy, Default)]
struct TaskCrashes {
    count: u32,
    suspicion: f64,
}

impl CrashHistory {
    pub fn new(settings: CrashSettings) -> Self {
        Self { settings, jobs: HashMap::new(), cautious_until: HashMap::new() }
    }

    /// Records a crash in which a task was active, and decides about the task.
    pub fn record(
        &mut self,
        job: &Name,
        queue: &Name,
        index: u32,
        suspicion: f64,
        now: Uptime,
    ) -> Verdict {
        self.forget_old(now);
        let is_suspect = suspicion >= self.settings.suspicion;
        let crashes = self.jobs.entry(job.clone()).or_insert_with(|| JobCrashes {
            tasks: HashMap::new(),
            is_suspect: false,
            last_at: now,
        });
        crashes.is_suspect |= is_suspect;
        crashes.last_at = now;
        let task = crashes.tasks.entry(index).or_default();
        task.count += 1;
        task.suspicion += suspicion;
        let task = *task;
        if self.settings.is_convicted(task) {
            self.cautious_until.insert(queue.clone(), now + self.settings.caution);
        }
        if self.settings.is_given_up(task) {
            Verdict::Fail
        } else if !is_suspect {
            Verdict::Retry
        } else if self.cautious_until.contains_key(queue) {
            Verdict::Abandon
        } else {
            Verdict::RetryAlone
        }
    }

    /// Records that a task of a job has ended well after a crash.
    pub fn record_success(&mut self, job: &Name) {
        if let Some(crashes) = self.jobs.get_mut(job) {
            crashes.is_suspect = false;
        }
    }

    /// Whether the tasks of a job run one at a time.
    pub fn is_suspect(&self, job: &Name) -> bool {
        self.jobs.get(job).is_some_and(|j| j.is_suspect)
    }

    /// Whether a task of a job that is submitted again has been given up before.
    pub fn has_failed(&self, job: &Name) -> bool {
        let has_failed = |task: &TaskCrashes| self.settings.is_given_up(*task);
        self.jobs.get(job).is_some_and(|j| j.tasks.values().any(has_failed))
    }

    fn forget_old(&mut self, now: Uptime) {
        let retention = self.settings.retention;
        self.jobs.retain(|_, j| j.last_at + retention > now);
        self.cautious_until.retain(|_, until| *until > now);
    }
}

impl Default for CrashHistory {
    fn default() -> Self {
        Self::new(CrashSettings::default())
    }
}
