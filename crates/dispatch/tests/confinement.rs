//! Which queues are confined after crashes of backend servers, and when they are released.

use std::time::Duration;

use base::{Name, Uptime};
use dispatch::{Confinement, CrashSite};
use lease::CrashReport;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SERVICE: &str = "ledger";
const QUEUE: &str = "orders";
/// Time between two crashes.
const INTERVAL: Duration = Duration::from_millis(70);
/// Probability that an innocent queue started a task so shortly before a crash, if a task
/// crashes its server after 12 ms and the queue starts six a second there.
const SHORTLY_BEFORE: f64 = 0.07;

macro_rules! cases {
    ($($name:ident: $scene:expr;)*) => {
        $(#[test] fn $name() { let scene: fn(Scene) = $scene; scene(Scene::default()); })*
    };
}

cases! {
    a_queue_that_starts_tasks_shortly_before_each_crash_is_confined: |mut s| {
        for _ in 0..5 {
            s.crash(CrashSite::Elsewhere, &[(QUEUE, SHORTLY_BEFORE), ("other", 0.6)]);
        }
        assert_eq!(s.confined(), [QUEUE]);
    };
    two_crashes_confine_no_queue: |mut s| {
        for _ in 0..2 {
            s.crash(CrashSite::Elsewhere, &[(QUEUE, 0.001)]);
        }
        assert!(s.confined().is_empty());
    };
    crashes_far_apart_confine_no_queue: |mut s| {
        for _ in 0..20 {
            s.crash(CrashSite::Elsewhere, &[(QUEUE, SHORTLY_BEFORE)]);
            s.now += Duration::from_secs(3);
        }
        assert!(s.confined().is_empty());
    };
    a_queue_that_starts_nothing_before_some_crashes_is_not_confined: |mut s| {
        for i in 0..20 {
            let chances: &[_] = if i % 4 == 0 { &[(QUEUE, SHORTLY_BEFORE)] } else { &[] };
            s.crash(CrashSite::Elsewhere, chances);
        }
        assert!(s.confined().is_empty());
    };
    a_queue_is_released_when_its_agents_run_its_tasks_without_a_crash: |mut s| {
        s.confine();
        s.pass(Duration::from_millis(1400), 1);
        assert_eq!(s.confined(), [QUEUE]);
        s.pass(Duration::from_millis(200), 1);
        assert!(s.confined().is_empty());
    };
    a_queue_stays_confined_while_its_agents_can_not_show_that_it_is_harmless: |mut s| {
        s.confine();
        s.pass(Duration::from_secs(10), 0);
        assert_eq!(s.confined(), [QUEUE]);
        s.crash(CrashSite::Confined, &[(QUEUE, SHORTLY_BEFORE)]);
        s.pass(Duration::from_millis(1400), 1);
        assert_eq!(s.confined(), [QUEUE]);
    };
    crashes_on_confined_agents_confine_no_other_queue: |mut s| {
        s.confine();
        for _ in 0..20 {
            s.crash(CrashSite::Confined, &[(QUEUE, 0.2), ("other", 0.001)]);
        }
        assert_eq!(s.confined(), [QUEUE]);
    };
    a_queue_of_another_service_is_not_confined: |mut s| {
        s.confine();
        assert!(!s.confinement.is_confined("archive", QUEUE));
        assert!(!s.confinement.is_active("archive"));
    };
    a_queue_with_young_runs_in_one_event_only_is_not_confined: |mut s| {
        // a job of each queue was placed on the three agents whose servers crash together
        for _ in 0..3 {
            s.crash_after(Duration::from_millis(5), &[(QUEUE, 0.003), ("other", 0.002)]);
        }
        assert!(s.confined().is_empty());
        for _ in 0..4 {
            s.crash(CrashSite::Elsewhere, &[(QUEUE, SHORTLY_BEFORE), ("other", 0.6)]);
        }
        assert_eq!(s.confined(), [QUEUE]);
    };
    crashes_of_jobs_placed_before_the_confinement_confine_no_other_queue: |mut s| {
        s.confine();
        for _ in 0..6 {
            s.crash(CrashSite::Elsewhere, &[("other", 0.001)]);
        }
        assert_eq!(s.confined(), [QUEUE]);
    };
    crashes_of_a_confined_queue_placed_by_an_entry_that_has_just_started_confine_no_other: |mut s| {
        s.confine();
        s.pass(Duration::from_millis(600), 1);
        for _ in 0..6 {
            s.crash(CrashSite::Elsewhere, &[(QUEUE, 0.01), ("other", 0.003)]);
        }
        assert_eq!(s.confined(), [QUEUE]);
    };
    a_queue_to_which_the_crashes_on_its_agents_do_not_point_is_released: |mut s| {
        s.confine();
        for _ in 0..8 {
            s.crash(CrashSite::Confined, &[(QUEUE, 0.5), ("other", SHORTLY_BEFORE)]);
        }
        assert!(s.confined().is_empty());
    };
    few_queues_are_confined_by_crashes_that_no_job_has_caused: |_| {
        let (mut confined, mut after) = (0, 0);
        for seed in 0..1000 {
            let (mut s, mut rng) = (Scene::default(), SmallRng::seed_from_u64(seed));
            for _ in 0..14 {
                // innocent queues are as likely to have any probability
                let chances = ["a", "b", "c"].map(|queue| (queue, 1.0 - rng.random::<f64>()));
                s.crash(CrashSite::Elsewhere, &chances);
            }
            confined += s.confined().len();
            s.pass(Duration::from_secs(3), 1);
            after += s.confined().len();
        }
        assert!(confined <= 100, "{confined} queues in 1000 series of crashes");
        assert_eq!(after, 0, "3 s later");
    };
}

#[derive(Default)]
struct Scene {
    confinement: Confinement,
    now: Uptime,
}

impl Scene {
    fn crash(&mut self, site: CrashSite, chances: &[(&str, f64)]) {
        self.now += INTERVAL;
        self.record(site, chances);
    }

    fn crash_after(&mut self, time: Duration, chances: &[(&str, f64)]) {
        self.now += time;
        self.record(CrashSite::Elsewhere, chances);
    }

    fn record(&mut self, site: CrashSite, chances: &[(&str, f64)]) {
        let chances = chances.iter().map(|(queue, chance)| (Name::from(*queue), *chance));
        let crash = CrashReport { number: 1, chances: chances.collect() };
        self.confinement.record(&SERVICE.into(), site, &crash, self.now);
    }

    fn confine(&mut self) {
        for _ in 0..5 {
            self.crash(CrashSite::Elsewhere, &[(QUEUE, SHORTLY_BEFORE)]);
        }
        assert_eq!(self.confined(), [QUEUE]);
    }

    /// Lets time pass, while so many agents that take confined queues are ready.
    fn pass(&mut self, time: Duration, ready: usize) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.confinement.release(SERVICE, ready, self.now);
        }
    }

    fn confined(&self) -> Vec<String> {
        let report = self.confinement.report(self.now);
        report.iter().map(|it| it.queue.to_string()).collect()
    }
}
