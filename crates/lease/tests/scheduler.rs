//! What the book of an agent decides, one situation a case.

use std::time::Duration;

use base::Uptime;
use lease::{
    Batch, BatchKey, Effect, EndCause, Ending, HealthSettings, LeaseBounds, LeaseTimings, Listing,
    Placement, RefusalReason, Resources, RunEnd, RunProgress, Scheduler, SchedulerSettings,
    SessionId, StartOrder, StartOutcome, StopOrder, TaskRef,
};

const ENTRY: SessionId = SessionId(1);
const CORES: u32 = 10_000;

macro_rules! cases {
    ($($name:ident: $scene:expr;)*) => {
        $(#[test] fn $name() { let scene: fn(Scene) = $scene; scene(Scene::new()); })*
    };
}

cases! {
    starts_at_once_where_there_is_room: |mut s| {
        s.place(1, 2, 300);
        assert_eq!(s.starts().len(), 2);
    };
    waits_for_room_and_starts_when_a_run_ends: |mut s| {
        s.place(1, 3, 300);
        let first = s.starts();
        assert_eq!(first.len(), 2, "two of three have room");
        s.all_start(&first);
        s.at(50);
        s.end(1, &first[0], EndCause::Done);
        assert_eq!(s.starts().len(), 1);
    };
    hands_back_what_gets_no_room_in_time: |mut s| {
        let key = s.place(1, 3, 100);
        let first = s.starts();
        s.all_start(&first);
        s.at(101);
        assert_eq!(s.endings(key), [Ending::NotRun]);
        assert!(s.starts().is_empty());
    };
    hands_back_at_once_what_can_t_start_in_time: |mut s| {
        s.place(1, 2, 1000);
        let first = s.starts();
        s.all_start(&first);
        let key = s.place(2, 1, 1);
        assert_eq!(s.endings(key), [Ending::NotRun]);
    };
    hands_back_early_what_others_get_ahead_of: |mut s| {
        s.place(1, 2, 300);
        let first = s.starts();
        s.all_start(&first);
        // one more would wait about 50 ms, and bears 90
        let key = s.place(2, 1, 90);
        assert!(s.endings(key).is_empty());
        s.place(3, 1, 60);
        assert_eq!(s.endings(key), [Ending::NotRun], "handed back while there is time elsewhere");
    };
    a_job_larger_than_the_backend_server_is_handed_back: |mut s| {
        let key = s.place_sized(1, 1, 300, Resources { cpu: CORES + 1, ..Resources::default() });
        assert_eq!(s.endings(key), [Ending::NotRun]);
    };
    a_lapsed_session_stops_its_runs: |mut s| {
        s.place(1, 2, 300);
        let first = s.starts();
        s.all_start(&first);
        s.silence();
        s.at(600);
        assert_eq!(s.stops().len(), 2);
    };
    after_a_sleep_nothing_starts_for_a_lapsed_session: |mut s| {
        s.place(1, 3, 5000);
        let first = s.starts();
        s.all_start(&first);
        s.silence();
        // the backend server ends a run while the agent sleeps
        s.now = Scene::ms(3000);
        s.end(1, &first[0], EndCause::Done);
        assert!(s.starts().is_empty(), "no start on the word of a session that lapsed");
    };
    an_order_is_not_given_once_its_session_has_lapsed: |mut s| {
        s.place(1, 1, 5000);
        let order = s.starts().remove(0);
        s.silence();
        s.now = Scene::ms(3000);
        let now = s.now;
        // another entry is heard first when the agent wakes, then this one
        s.book.extend_session(SessionId(2), &"other".into(), now, now);
        s.book.extend_session(ENTRY, &"entry".into(), now, now);
        assert_eq!(s.book.lease_for_start(order.key, now), None);
    };
    entries_that_started_at_once_get_their_own_ends: |mut s| {
        let now = s.now;
        // the same incarnation, because their clocks showed the same microsecond
        let [one, two] = ["entry-1", "entry-2"].map(|name| SessionId::of(name, 7));
        s.book.extend_session(one, &"entry-1".into(), now, now);
        s.book.extend_session(two, &"entry-2".into(), now, now);
        let first = s.place_for(one, 1, "first");
        let second = s.place_for(two, 1, "second");
        let orders = s.starts();
        assert_eq!(orders.len(), 2, "each has its own run");
        s.all_start(&orders);
        s.at(50);
        s.end(1, &orders[0], EndCause::Done);
        assert_eq!(s.endings(first), [Ending::Done]);
        let now = s.now;
        assert!(s.book.progress(second, 0, now).is_none(), "the other one still runs");
    };
    no_lease_without_a_session: |mut s| {
        s.silence();
        s.at(600);
        let now = s.now;
        assert_eq!(s.book.renew_lease(now), None);
    };
    no_lease_beyond_the_session: |mut s| {
        s.silence();
        s.at(400);
        let chain = s.chain;
        let now = s.now;
        let until = s.book.renew_lease(now).expect("the session is open");
        assert!(until <= Scene::ms(0) + chain.session_ttl, "{until:?}");
    };
    an_unanswered_order_is_voided_before_it_is_given_again: |mut s| {
        s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Indeterminate);
        let stops = s.stops();
        assert_eq!(stops, [StopOrder { task: order.task.clone(), run: order.run }]);
        s.list(&[]);
        assert!(s.starts().is_empty(), "not before the stop is confirmed");
        s.confirm(&stops[0]);
        s.at(5);
        s.list(&[]);
        assert_eq!(s.starts()[0].run, order.run + 1);
    };
    an_unanswered_stop_is_ordered_again: |mut s| {
        s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Indeterminate);
        assert_eq!(s.stops().len(), 1);
        s.at(40);
        assert_eq!(s.stops().len(), 1);
    };
    a_run_given_up_is_not_started_again: |mut s| {
        let key = s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Indeterminate);
        let stop = s.stops().remove(0);
        let now = s.now;
        s.book.cancel_batch(key, now);
        s.confirm(&stop);
        s.at(5);
        s.list(&[]);
        assert!(s.starts().is_empty());
        assert_eq!(s.endings(key), [Ending::Lost]);
    };
    a_number_that_was_used_before_rises: |mut s| {
        s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Rejected(RefusalReason::Old));
        assert!(s.starts()[0].run > order.run);
    };
    without_room_it_is_tried_again_later: |mut s| {
        s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Rejected(RefusalReason::Room));
        assert!(s.starts().is_empty());
        s.at(30);
        assert_eq!(s.starts().len(), 1);
    };
    a_refusal_is_handed_back_as_not_run: |mut s| {
        let key = s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Rejected(RefusalReason::Busy));
        assert_eq!(s.endings(key), [Ending::NotRun]);
    };
    a_backend_server_reborn_has_lost_its_runs: |mut s| {
        let key = s.place(1, 2, 300);
        let first = s.starts();
        s.all_start(&first);
        let now = s.now;
        s.book.on_listing(&Listing { requested_at: now, started_ms: 2, ..Listing::default() }, now);
        // an order may have reached the new life before its agent knew of it
        assert!(s.book.progress(key, 0, now).is_none(), "not before they are stopped there");
        s.confirm_stops();
        s.now += Duration::from_millis(5);
        let now = s.now;
        s.book.on_listing(&Listing { requested_at: now, started_ms: 2, ..Listing::default() }, now);
        assert_eq!(s.endings(key), [Ending::Lost, Ending::Lost]);
    };
    an_order_without_an_answer_is_voided_in_the_next_life: |mut s| {
        let key = s.place(1, 1, 300);
        let order = s.starts().remove(0);
        let now = s.now;
        s.book.on_listing(&Listing { requested_at: now, started_ms: 2, ..Listing::default() }, now);
        assert!(s.book.progress(key, 0, now).is_none(), "it may start there yet");
        let effects = s.book.take_effects();
        let fence = effects.iter().position(|e| *e == Effect::RaiseFence).expect("it is fenced off");
        let void = StopOrder { task: order.task.clone(), run: order.run };
        let stop = effects.iter().position(|e| *e == Effect::Stop(void.clone()));
        assert!(stop.expect("it is voided") > fence, "under the new token");
        s.now += Duration::from_millis(5);
        let now = s.now;
        s.book.on_stop_confirmed(&void, now);
        s.now += Duration::from_millis(5);
        let now = s.now;
        s.book.on_listing(&Listing { requested_at: now, started_ms: 2, ..Listing::default() }, now);
        assert_eq!(s.starts().first().map(|o| o.run), Some(order.run + 1));
    };
    word_of_an_earlier_life_changes_nothing: |mut s| {
        let key = s.place(1, 1, 300);
        let first = s.starts();
        s.all_start(&first);
        let now = s.now;
        s.book.on_announcement(0, Resources { cpu: CORES, ..Resources::default() }, false, now);
        assert!(s.book.progress(key, 0, now).is_none(), "it still runs");
    };
    a_run_that_vanished_is_lost: |mut s| {
        let key = s.place(1, 1, 300);
        let first = s.starts();
        s.all_start(&first);
        s.at(10);
        s.list(&[]);
        assert_eq!(s.endings(key), [Ending::Lost]);
    };
    a_listing_asked_for_before_the_start_tells_nothing: |mut s| {
        let key = s.place(1, 1, 300);
        let asked = s.now;
        let first = s.starts();
        s.now += Duration::from_millis(5);
        s.all_start(&first);
        s.now += Duration::from_millis(5);
        let now = s.now;
        s.book.on_listing(&Listing { requested_at: asked, started_ms: 1, ..Listing::default() }, now);
        assert!(s.book.progress(key, 0, now).is_none(), "it may run");
    };
    a_stray_run_is_stopped_and_nothing_is_taken_meanwhile: |mut s| {
        let stray = TaskRef { job: "stray".into(), index: 0 };
        let row = RunProgress { task: stray.clone(), run: 7, percent: 10 };
        let now = s.now;
        s.book.on_listing(&Listing { requested_at: now, started_ms: 1, running: vec![row], ended: vec![] }, now);
        assert_eq!(s.stops(), [StopOrder { task: stray, run: 7 }]);
        assert!(!s.book.load(now).ready);
        s.at(5);
        s.list(&[]);
        assert!(s.book.load(now).ready);
    };
    a_listing_that_was_overtaken_names_no_stray_run: |mut s| {
        s.place(1, 1, 300);
        let first = s.starts();
        s.all_start(&first);
        s.at(50);
        s.end(1, &first[0], EndCause::Done);
        // answered before the end was, and read after it
        s.list_running(&first[0], 90);
        assert!(s.stops().is_empty());
        let now = s.now;
        assert!(s.book.load(now).ready);
    };
    a_silent_backend_server_gets_nothing: |mut s| {
        let now = s.now;
        s.book.on_listing_failed(now);
        s.book.on_listing_failed(now);
        assert!(!s.book.load(now).ready);
    };
    leases_that_lapsed_end_all_runs: |mut s| {
        let key = s.place(1, 1, 300);
        let first = s.starts();
        s.all_start(&first);
        s.at(2000);
        assert_eq!(s.endings(key), [Ending::Lost], "no listing for longer than any lease");
    };
    a_draining_backend_server_gets_nothing_and_keeps_what_runs: |mut s| {
        let key = s.place(1, 3, 300);
        let first = s.starts();
        s.all_start(&first);
        let now = s.now;
        s.book.on_announcement(1, Resources { cpu: CORES, ..Resources::default() }, true, now);
        assert_eq!(s.endings(key), [Ending::NotRun]);
        assert!(s.stops().is_empty());
        let other = s.place(2, 1, 300);
        assert_eq!(s.endings(other), [Ending::NotRun]);
    };
    a_stopping_agent_hands_back_what_waits: |mut s| {
        let key = s.place(1, 3, 300);
        let first = s.starts();
        s.all_start(&first);
        let now = s.now;
        s.book.drain(now);
        assert_eq!(s.endings(key), [Ending::NotRun]);
        assert!(s.stops().is_empty());
        s.book.stop_all(now);
        assert_eq!(s.stops().len(), 2);
    };
    an_end_counts_once: |mut s| {
        let key = s.place(1, 2, 300);
        let first = s.starts();
        s.all_start(&first);
        s.end(1, &first[0], EndCause::Failed);
        s.end(1, &first[0], EndCause::Failed);
        assert_eq!(s.endings(key), [Ending::Failed]);
        assert_eq!(s.book.last_acked(), 1);
    };
    a_run_that_stands_still_is_stopped: |mut s| {
        s.place(1, 1, 300);
        let first = s.starts();
        s.all_start(&first);
        for at in [10, 100, 200, 320] {
            s.at(at);
            s.list_running(&first[0], 5);
        }
        assert_eq!(s.stops().len(), 1);
    };
    a_run_that_goes_on_is_left_alone: |mut s| {
        s.place(1, 1, 300);
        let first = s.starts();
        s.all_start(&first);
        for (at, percent) in [(10, 5), (300, 20), (590, 40), (880, 60)] {
            s.at(at);
            s.list_running(&first[0], percent);
        }
        assert!(s.stops().is_empty());
    };
    a_backend_server_that_fails_everything_is_only_probed: |mut s| {
        for n in 1..=3 {
            s.place(n, 1, 300);
            let first = s.starts();
            s.all_start(&first);
            s.end(n, &first[0], EndCause::Failed);
        }
        let now = s.now;
        assert!(s.book.load(now).suspect);
        assert!(!s.book.load(now).ready);
        s.at(1100);
        let now = s.now;
        assert!(s.book.load(now).ready, "one probe is due");
        s.place(4, 2, 300);
        assert_eq!(s.starts().len(), 1, "one task, not two");
    };
    the_same_batch_is_taken_once: |mut s| {
        let key = s.place(1, 1, 300);
        assert_eq!(s.place(1, 1, 300), key);
        assert_eq!(s.starts().len(), 1);
    };
    a_batch_on_the_word_of_an_entry_long_silent_is_handed_back: |mut s| {
        s.silence();
        s.at(600);
        let key = s.place(1, 1, 300);
        assert_eq!(s.endings(key), [Ending::NotRun]);
        assert!(s.starts().is_empty());
    };
}

#[test]
fn a_chain_ends_all_runs_before_a_job_comes_again() {
    for resend in [700, 1000, 1300, 2500, 9000] {
        for hold in [300, 600, 1000, 5000] {
            let settings = LeaseBounds {
                resend_delay: Duration::from_millis(resend),
                max_lease: Duration::from_millis(hold),
                ..LeaseBounds::default()
            };
            let chain = LeaseTimings::new(&settings).expect("there is time enough");
            assert!(chain.run_expiry <= settings.resend_delay, "{chain:?} for {settings:?}");
            assert!(
                LeaseTimings::worst_case_expiry(chain.lease_ttl) <= settings.max_lease,
                "{chain:?} for {settings:?}"
            );
            assert!(
                chain.renewal_interval() * 3 < chain.lease_ttl
                    && chain.heartbeat_interval() * 3 < chain.session_ttl
            );
        }
    }
}

#[test]
fn a_chain_without_time_is_refused() {
    let settings =
        LeaseBounds { resend_delay: Duration::from_millis(400), ..LeaseBounds::default() };
    let error = LeaseTimings::new(&settings).expect_err("too little time").to_string();
    assert!(error.contains("604"), "says what is needed: {error}");
}

/// One agent with a backend server of two tasks' room and one entry.
struct Scene {
    book: Scheduler,
    chain: LeaseTimings,
    now: Uptime,
    heard: bool,
    effects: Vec<Effect>,
}

impl Scene {
    fn new() -> Self {
        let chain = LeaseTimings::new(&LeaseBounds::default()).expect("defaults are sound");
        let settings = SchedulerSettings {
            timings: chain,
            health: HealthSettings::default(),
            max_queued: 100,
        };
        let mut scene = Self {
            book: Scheduler::new(settings),
            chain,
            now: Self::ms(0),
            heard: true,
            effects: Vec::new(),
        };
        scene.book.on_announcement(
            1,
            Resources { cpu: CORES, ..Resources::default() },
            false,
            scene.now,
        );
        scene.list(&[]);
        scene
    }

    /// A time of the scene; the machine started a while before.
    fn ms(ms: u64) -> Uptime {
        Duration::from_millis(100_000 * u64::from(ms < 100_000) + ms)
    }

    /// The entry is heard no more.
    fn silence(&mut self) {
        self.hear();
        self.heard = false;
    }

    fn hear(&mut self) {
        if self.heard {
            self.book.extend_session(ENTRY, &"entry".into(), self.now, self.now);
        }
    }

    fn at(&mut self, ms: u64) {
        self.now = Self::ms(ms);
        self.hear();
        self.book.tick(self.now);
    }

    fn place(&mut self, number: u64, tasks: u32, wait_ms: u64) -> BatchKey {
        self.place_sized(
            number,
            tasks,
            wait_ms,
            Resources { cpu: CORES / 2, ..Resources::default() },
        )
    }

    fn place_sized(&mut self, number: u64, tasks: u32, wait_ms: u64, size: Resources) -> BatchKey {
        self.hear();
        let batch = Self::batch(number, &format!("job-{number}"), tasks, wait_ms, size);
        self.book.place(ENTRY, batch, self.now)
    }

    /// A task of a job of another entry.
    fn place_for(&mut self, entry: SessionId, number: u64, job: &str) -> BatchKey {
        let size = Resources { cpu: CORES / 2, ..Resources::default() };
        self.book.place(entry, Self::batch(number, job, 1, 300, size), self.now)
    }

    fn batch(number: u64, job: &str, tasks: u32, wait_ms: u64, size: Resources) -> Batch {
        Batch {
            number,
            job: job.into(),
            spec: "spec".into(),
            resources: size,
            estimate: Duration::from_millis(100),
            max_wait: Duration::from_millis(wait_ms),
            time_left: Duration::from_secs(10),
            tasks: (0..tasks).map(|index| Placement { index, run: 1 }).collect(),
        }
    }

    fn take(&mut self) {
        self.effects.extend(self.book.take_effects());
    }

    fn starts(&mut self) -> Vec<StartOrder> {
        self.take();
        let found = self.effects.iter().filter_map(|e| match e {
            Effect::Start(order) => Some(order.clone()),
            _ => None,
        });
        let found = found.collect();
        self.effects.retain(|e| !matches!(e, Effect::Start(_)));
        found
    }

    fn confirm_stops(&mut self) {
        let now = self.now;
        for stop in self.stops() {
            self.book.on_stop_confirmed(&stop, now);
        }
    }

    fn stops(&mut self) -> Vec<StopOrder> {
        self.take();
        let found = self.effects.iter().filter_map(|e| match e {
            Effect::Stop(order) => Some(order.clone()),
            _ => None,
        });
        let found = found.collect();
        self.effects.retain(|e| !matches!(e, Effect::Stop(_)));
        found
    }

    fn answer(&mut self, order: &StartOrder, started: StartOutcome) {
        // an order without a lease is never given
        assert!(self.book.lease_for_start(order.key, self.now).is_some());
        self.book.on_start_outcome(order.key, started, self.now);
    }

    fn all_start(&mut self, orders: &[StartOrder]) {
        for order in orders {
            self.answer(order, StartOutcome::Accepted);
        }
    }

    fn confirm(&mut self, order: &StopOrder) {
        self.book.on_stop_confirmed(order, self.now);
    }

    /// Renews the leases, and gives the listing that comes with it.
    fn list(&mut self, running: &[RunProgress]) {
        self.book.renew_lease(self.now);
        let listing = Listing {
            requested_at: self.now,
            started_ms: 1,
            running: running.to_vec(),
            ended: vec![],
        };
        self.book.on_listing(&listing, self.now);
    }

    fn list_running(&mut self, order: &StartOrder, percent: u32) {
        self.list(&[RunProgress { task: order.task.clone(), run: order.run, percent }]);
    }

    /// The backend server lists an end; what else was started goes on.
    fn end(&mut self, number: u64, order: &StartOrder, cause: EndCause) {
        let row = RunEnd { sequence: number, task: order.task.clone(), run: order.run, cause };
        // asked for long ago, so that what it doesn't show may run
        let listing = Listing {
            requested_at: Uptime::ZERO,
            started_ms: 1,
            running: Vec::new(),
            ended: vec![row],
        };
        self.book.on_listing(&listing, self.now);
    }

    fn endings(&mut self, key: BatchKey) -> Vec<Ending> {
        let progress = self.book.progress(key, 0, self.now);
        progress.map(|p| p.results.iter().map(|s| s.ending).collect()).unwrap_or_default()
    }
}
