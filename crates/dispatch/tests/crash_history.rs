//! Which tasks are started again after crashes of backend servers.

use std::time::Duration;

use base::{Name, Uptime};
use dispatch::{CrashHistory, CrashSettings, Verdict};

const QUEUE: &str = "orders";
const JOB: &str = "job";

macro_rules! cases {
    ($($name:ident: $scene:expr;)*) => {
        $(#[test] fn $name() { let scene: fn(Scene) = $scene; scene(Scene::default()); })*
    };
}

cases! {
    a_bystander_of_one_crash_runs_again: |mut s| {
        assert_eq!(s.crash(JOB, 0, 0.05), Verdict::Retry);
        assert!(!s.is_suspect(JOB));
    };
    a_bystander_of_two_crashes_runs_again: |mut s| {
        s.crash(JOB, 0, 0.1);
        assert_eq!(s.crash(JOB, 0, 0.1), Verdict::Retry);
    };
    a_suspect_runs_alone_until_a_task_of_its_job_ends_well: |mut s| {
        assert_eq!(s.crash(JOB, 0, 0.6), Verdict::RetryAlone);
        assert!(s.is_suspect(JOB));
        s.history.record_success(&JOB.into());
        assert!(!s.is_suspect(JOB));
    };
    a_suspect_of_two_crashes_fails: |mut s| {
        s.crash(JOB, 0, 0.5);
        assert_eq!(s.crash(JOB, 0, 0.5), Verdict::Fail);
    };
    no_task_is_started_after_three_crashes: |mut s| {
        s.crash(JOB, 0, 0.0);
        s.crash(JOB, 0, 0.0);
        assert_eq!(s.crash(JOB, 0, 0.0), Verdict::Fail);
    };
    crashes_under_other_tasks_of_a_job_do_not_count: |mut s| {
        for index in 0..4 {
            assert_ne!(s.crash(JOB, index, 0.1), Verdict::Fail);
        }
    };
    a_job_that_failed_is_not_started_when_it_is_sent_again: |mut s| {
        s.crash(JOB, 0, 0.5);
        assert!(!s.has_failed(JOB));
        s.crash(JOB, 0, 0.5);
        assert!(s.has_failed(JOB));
        assert!(!s.has_failed("other"));
    };
    suspects_of_a_queue_with_a_conviction_are_not_started_again: |mut s| {
        s.convict("first");
        assert_eq!(s.crash(JOB, 0, 0.5), Verdict::Abandon);
        assert_eq!(s.crash("bystander", 0, 0.05), Verdict::Retry);
        let other = s.history.record(&"else".into(), &"other".into(), 0, 0.5, s.now);
        assert_eq!(other, Verdict::RetryAlone, "of another queue");
    };
    caution_with_a_queue_ends: |mut s| {
        s.convict("first");
        s.now += CrashSettings::default().caution;
        assert_eq!(s.crash(JOB, 0, 0.5), Verdict::RetryAlone);
    };
    crashes_are_forgotten: |mut s| {
        s.crash(JOB, 0, 0.5);
        s.now += CrashSettings::default().retention;
        assert_eq!(s.crash(JOB, 0, 0.5), Verdict::RetryAlone);
    };
}

struct Scene {
    history: CrashHistory,
    now: Uptime,
}

impl Default for Scene {
    fn default() -> Self {
        Self { history: CrashHistory::default(), now: Duration::from_secs(100) }
    }
}

impl Scene {
    fn crash(&mut self, job: &str, index: u32, suspicion: f64) -> Verdict {
        self.history.record(&job.into(), &QUEUE.into(), index, suspicion, self.now)
    }

    fn convict(&mut self, job: &str) {
        self.crash(job, 0, 0.6);
        assert_eq!(self.crash(job, 0, 0.6), Verdict::Fail);
    }

    fn is_suspect(&self, job: &str) -> bool {
        self.history.is_suspect(&Name::from(job))
    }

    fn has_failed(&self, job: &str) -> bool {
        self.history.has_failed(&Name::from(job))
    }
}
