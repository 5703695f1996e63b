use std::{collections::HashMap, time::Duration};

use base::{Name, Uptime};
use lease::Crash;

use crate::JobKey;

/// Longest time between the reports of the tasks that one crash has ended.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// When tasks that may crash backend servers are no longer started.
#[derive(Clone, Debug)]
pub struct CrashSettings {
    /// crashes under a task after which it is given up, whatever caused them
    pub max_crashes: u32,
    /// probability of having caused a crash from which a task is a suspect of it
    pub suspicion: f64,
    /// sum of the probabilities from which a suspect of two crashes is given up
    pub conviction: f64,
    /// crashes with suspects of one queue after which further suspects of it are given up
    pub retried_crashes: usize,
    /// how long these crashes count
    pub window: Duration,
    /// how long the crashes under a job are remembered
    pub retention: Duration,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            max_crashes: 4,
            suspicion: 0.2,
            conviction: 0.8,
            retried_crashes: 2,
            window: Duration::from_secs(10),
            retention: Duration::from_secs(60),
        }
    }
}

impl CrashSettings {
    fn is_given_up(&self, task: TaskCrashes) -> bool {
        let is_convicted = task.suspected >= 2 && task.suspicion >= self.conviction;
        is_convicted || task.count >= self.max_crashes
    }
}

/// What is done with a task after a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// it runs again
    Retry,
    /// it runs again while no other task of its job does
    RetryAlone,
    /// it isn't started again
    Abandon,
    /// it isn't started again, as it is proven to have run in several crashes
    Fail,
}

/// A task that was active in a crash.
#[derive(Clone, Copy, Debug)]
pub struct CrashedTask<'a> {
    pub job: &'a JobKey,
    pub index: u32,
    /// agent whose backend server crashed
    pub agent: &'a Name,
}

/// Crashes of backend servers by job and queue.
///
/// All runs on a backend server end with it, most of them innocent. A task that was a
/// suspect in several crashes has most likely caused them, and one retry tells. If the
/// jobs of a queue are suspects in crash after crash, even that retry costs other jobs
/// more than it gains.
#[derive(Default)]
pub struct CrashHistory {
    settings: CrashSettings,
    jobs: HashMap<JobKey, JobCrashes>,
    /// agent and time of the crashes with suspects of each queue
    suspected: HashMap<Name, Vec<(Name, Uptime)>>,
}

struct JobCrashes {
    tasks: HashMap<u32, TaskCrashes>,
    is_suspect: bool,
    last_at: Uptime,
}

/// Crashes under one task.
#[derive(Clone, Copy, Default)]
struct TaskCrashes {
    count: u32,
    proven: u32,
    /// those in which it was a suspect, and the sum of its probabilities in them
    suspected: u32,
    suspicion: f64,
}

impl CrashHistory {
    pub fn new(settings: CrashSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records a crash in which a task was active, and decides about the task.
    pub fn record(&mut self, task: CrashedTask<'_>, crash: Crash, now: Uptime) -> Verdict {
        self.forget_old(now);
        let is_suspect = crash.suspicion >= self.settings.suspicion;
        let may_retry = !is_suspect || self.may_retry(task, now);
        let crashes = self.jobs.entry(task.job.clone()).or_insert_with(|| JobCrashes {
            tasks: HashMap::new(),
            is_suspect: false,
            last_at: now,
        });
        crashes.is_suspect |= is_suspect;
        crashes.last_at = now;
        let of_task = crashes.tasks.entry(task.index).or_default();
        of_task.count += 1;
        of_task.proven += u32::from(crash.proven);
        if is_suspect {
            of_task.suspected += 1;
            of_task.suspicion += crash.suspicion;
        }
        match self.earlier_verdict(task.job) {
            Some(verdict) => verdict,
            None if !may_retry => Verdict::Abandon,
            None if is_suspect => Verdict::RetryAlone,
            None => Verdict::Retry,
        }
    }

    /// Records that a task of a job has ended well.
    pub fn record_success(&mut self, job: &JobKey) {
        if let Some(crashes) = self.jobs.get_mut(job) {
            crashes.is_suspect = false;
        }
    }

    /// Whether the tasks of a job run one at a time.
    pub fn is_suspect(&self, job: &JobKey) -> bool {
        self.jobs.get(job).is_some_and(|j| j.is_suspect)
    }

    /// Verdict on a job that may have been submitted before, if a task of it was given up.
    pub fn earlier_verdict(&self, job: &JobKey) -> Option<Verdict> {
        let tasks = self.jobs.get(job)?.tasks.values();
        let given_up = tasks.filter(|t| self.settings.is_given_up(**t));
        let proven = given_up.map(|t| t.proven).max()?;
        Some(if proven >= 2 { Verdict::Fail } else { Verdict::Abandon })
    }

    /// Records a crash with a suspect of a queue; returns whether there were few before.
    fn may_retry(&mut self, task: CrashedTask<'_>, now: Uptime) -> bool {
        let crashes = self.suspected.entry(task.job.queue.clone()).or_default();
        // tasks of one crash are reported one after the other
        let is_known = |(agent, at): &(Name, Uptime)| agent == task.agent && *at + SAME_CRASH > now;
        let before = crashes.iter().filter(|it| !is_known(it)).count();
        if before == crashes.len() {
            crashes.push((task.agent.clone(), now));
        }
        before < self.settings.retried_crashes
    }

    fn forget_old(&mut self, now: Uptime) {
        let CrashSettings { window, retention, .. } = self.settings;
        self.jobs.retain(|_, j| j.last_at + retention > now);
        self.suspected.retain(|_, crashes| {
            crashes.retain(|(_, at)| *at + window > now);
            !crashes.is_empty()
        });
    }
}
