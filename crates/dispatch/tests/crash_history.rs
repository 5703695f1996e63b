//! Which tasks are started again after crashes of backend servers.

use std::time::Duration;

use base::Uptime;
use dispatch::{CrashHistory, CrashSettings, CrashedTask, JobKey, Verdict};
use lease::Crash;

const QUEUE: &str = "orders";
const JOB: &str = "job";

macro_rules! cases {
    ($($name:ident: $scene:expr;)*) => {
        $(#[test] fn $name() { let scene: fn(Scene) = $scene; scene(Scene::default()); })*
    };
}

cases! {
    a_bystander_of_crashes_runs_again: |mut s| {
        for _ in 0..3 {
            assert_eq!(s.crash(JOB, 0.1), Verdict::Retry);
        }
        assert!(!s.is_suspect(JOB));
    };
    a_suspect_runs_alone_until_a_task_of_its_job_ends_well: |mut s| {
        assert_eq!(s.crash(JOB, 0.6), Verdict::RetryAlone);
        assert!(s.is_suspect(JOB));
        s.history.record_success(&key(JOB, QUEUE));
        assert!(!s.is_suspect(JOB));
    };
    a_suspect_of_two_crashes_fails: |mut s| {
        s.crash(JOB, 0.5);
        assert_eq!(s.crash(JOB, 0.5), Verdict::Fail);
    };
    a_suspect_of_one_crash_and_a_bystander_of_another_runs_again: |mut s| {
        s.crash(JOB, 0.9);
        assert_ne!(s.crash(JOB, 0.01), Verdict::Fail);
    };
    no_task_is_started_after_four_crashes: |mut s| {
        for _ in 0..3 {
            assert_eq!(s.crash(JOB, 0.0), Verdict::Retry);
        }
        assert_eq!(s.crash(JOB, 0.0), Verdict::Fail);
    };
    a_task_fails_only_if_it_is_proven_to_have_run_in_two_crashes: |mut s| {
        s.crash(JOB, 0.9);
        assert_eq!(s.crash_unproven(JOB, 0.9), Verdict::Abandon);
        assert_eq!(s.earlier_verdict(JOB), Some(Verdict::Abandon));
    };
    crashes_under_other_tasks_of_a_job_do_not_count: |mut s| {
        for index in 0..4 {
            let verdict = s.record(JOB, QUEUE, index, Crash { suspicion: 0.1, proven: true });
            assert_eq!(verdict, Verdict::Retry);
        }
    };
    a_job_that_failed_is_not_started_when_it_is_sent_again: |mut s| {
        s.crash(JOB, 0.5);
        assert_eq!(s.earlier_verdict(JOB), None);
        s.crash(JOB, 0.5);
        assert_eq!(s.earlier_verdict(JOB), Some(Verdict::Fail));
        assert_eq!(s.earlier_verdict("other"), None);
    };
    crashes_under_a_job_of_another_queue_with_the_same_id_do_not_count: |mut s| {
        for _ in 0..2 {
            s.record(JOB, "other", 0, Crash { suspicion: 0.5, proven: true });
        }
        assert_eq!(s.earlier_verdict(JOB), None);
        assert!(!s.is_suspect(JOB));
    };
    suspects_of_a_queue_are_not_retried_after_several_crashes: |mut s| {
        assert_eq!(s.crash("first", 0.5), Verdict::RetryAlone);
        assert_eq!(s.crash("second", 0.5), Verdict::RetryAlone);
        assert_eq!(s.crash("third", 0.5), Verdict::Abandon);
        assert_eq!(s.crash("bystander", 0.05), Verdict::Retry);
        let other = s.record("else", "other", 0, Crash { suspicion: 0.5, proven: true });
        assert_eq!(other, Verdict::RetryAlone, "of another queue");
    };
    suspects_of_one_crash_count_once: |mut s| {
        for job in ["first", "second", "third"] {
            s.crashed = 0;
            assert_eq!(s.crash(job, 0.3), Verdict::RetryAlone);
        }
    };
    crashes_of_a_queue_count_for_a_while: |mut s| {
        for job in ["first", "second", "third"] {
            s.crash(job, 0.5);
        }
        s.now += CrashSettings::default().window;
        assert_eq!(s.crash("fourth", 0.5), Verdict::RetryAlone);
    };
    crashes_of_a_job_are_forgotten: |mut s| {
        s.crash(JOB, 0.5);
        s.now += CrashSettings::default().retention;
        assert_eq!(s.crash(JOB, 0.5), Verdict::RetryAlone);
    };
}

fn key(id: &str, queue: &str) -> JobKey {
    JobKey { queue: queue.into(), id: id.into() }
}

struct Scene {
    history: CrashHistory,
    now: Uptime,
    /// crashes so far, each of another backend server
    crashed: u32,
}

impl Default for Scene {
    fn default() -> Self {
        let history = CrashHistory::default();
        Self { history, now: Duration::from_secs(100), crashed: 0 }
    }
}

impl Scene {
    fn crash(&mut self, job: &str, suspicion: f64) -> Verdict {
        self.record(job, QUEUE, 0, Crash { suspicion, proven: true })
    }

    fn crash_unproven(&mut self, job: &str, suspicion: f64) -> Verdict {
        self.record(job, QUEUE, 0, Crash { suspicion, proven: false })
    }

    fn record(&mut self, job: &str, queue: &str, index: u32, crash: Crash) -> Verdict {
        self.crashed += 1;
        let agent = format!("agent-{}", self.crashed);
        let task = CrashedTask { job: &key(job, queue), index, agent: &agent.as_str().into() };
        self.history.record(task, crash, self.now)
    }

    fn is_suspect(&self, job: &str) -> bool {
        self.history.is_suspect(&key(job, QUEUE))
    }

    fn earlier_verdict(&self, job: &str) -> Option<Verdict> {
        self.history.earlier_verdict(&key(job, QUEUE))
    }
}
