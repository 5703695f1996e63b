//! Decisions of the scheduler, one situation per case.

use std::{ops::Range, time::Duration};

use base::Uptime;
use lease::{
    Batch, BatchKey, BatchLookup, BatchTask, CentreState, Class, Crash, Delivery, Effect, EndCause,
    Ending, HealthSettings, LeaseBounds, LeaseTimings, Listing, Phase, RefusalReason, Resources,
    RunEnd, RunProgress, Scheduler, SchedulerSettings, SessionId, StartOrder, StartOutcome,
    StopOrder, TaskRef,
};

const ENTRY: SessionId = SessionId(1);
const CORES: u32 = 10_000;
/// How long the callers wait.
const CALLER_WAIT: Duration = Duration::from_secs(10);

macro_rules! cases {
    ($($name:ident: $scene:expr;)*) => {
        $(#[test] fn $name() { let scene: fn(Scene) = $scene; scene(Scene::new()); })*
    };
}

cases! {
    starts_at_once_with_free_capacity: |mut s| {
        s.place(1, 2, 300);
        assert_eq!(s.starts().len(), 2);
    };
    queues_a_task_until_a_run_ends: |mut s| {
        s.place(1, 3, 300);
        let first = s.starts();
        assert_eq!(first.len(), 2, "two of three fit");
        s.accept_all(&first);
        s.advance_to(50);
        s.end(1, &first[0], EndCause::Done);
        assert_eq!(s.starts().len(), 1);
    };
    a_crash_is_reported_at_the_first_refused_connection: |mut s| {
        s.place(1, 1, 300);
        let starts = s.starts();
        s.accept_all(&starts);
        s.advance_to(12);
        s.scheduler.on_listing_failed(s.now);
        assert!(s.scheduler.crash_report(s.now).is_none(), "it may only be slow");
        s.advance_to(62);
        s.scheduler.on_not_listening(s.now);
        let report = s.scheduler.crash_report(s.now).expect("a report").clone();
        let [(queue, chance)] = &report.chances[..] else { panic!("{report:?}") };
        assert_eq!((report.number, &**queue), (1, "queue"));
        assert!(*chance < 0.02, "a start 12 ms before is not likely by coincidence: {chance}");
        assert_eq!(s.scheduler.counts(), (0, 1), "the run may go on until its lease has ended");
        s.restart(2);
        assert_eq!(s.scheduler.crash_report(s.now), Some(&report), "the same crash");
    };
    the_rate_of_starts_tells_coincidence: |mut s| {
        for number in 1..100 {
            s.place(number, 1, 300);
            let starts = s.starts();
            s.accept_all(&starts);
            s.advance_to(number * 20);
            s.end(number, &starts[0], EndCause::Done);
        }
        s.advance_to(2_000);
        s.scheduler.on_not_listening(s.now);
        let report = s.scheduler.crash_report(s.now).expect("a report");
        assert!(report.chances[0].1 > 0.3, "with fifty starts a second: {report:?}");
    };
    the_exit_of_a_draining_backend_server_is_not_reported_as_a_crash: |mut s| {
        s.place(1, 1, 300);
        s.announce(Phase { draining: true, ..Phase::default() });
        s.scheduler.on_not_listening(s.now);
        assert!(s.scheduler.crash_report(s.now).is_none());
    };
    returns_a_task_without_capacity_in_time: |mut s| {
        let key = s.place(1, 3, 100);
        let first = s.starts();
        s.accept_all(&first);
        s.advance_to(101);
        assert_eq!(s.endings(key), [Ending::NotRun]);
        assert!(s.starts().is_empty());
    };
    returns_at_once_a_task_that_can_t_start_in_time: |mut s| {
        s.place(1, 2, 1000);
        let first = s.starts();
        s.accept_all(&first);
        let key = s.place(2, 1, 1);
        assert_eq!(s.endings(key), [Ending::NotRun]);
    };
    returns_early_a_task_delayed_by_others: |mut s| {
        s.place(1, 2, 300);
        let first = s.starts();
        s.accept_all(&first);
        // expected to wait for about 50 ms of its 90
        let key = s.place(2, 1, 90);
        assert!(s.endings(key).is_empty());
        s.place(3, 1, 60);
        assert_eq!(s.endings(key), [Ending::NotRun], "returned while there is time elsewhere");
    };
    a_task_larger_than_the_backend_server_is_returned: |mut s| {
        let key = s.place_with(1, 1, 300, Resources { cpu: CORES + 1, ..Resources::default() });
        assert_eq!(s.endings(key), [Ending::NotRun]);
    };
    a_queued_task_is_returned_at_once_when_the_capacity_shrinks_below_it: |mut s| {
        let running = s.place(1, 2, 5000);
        let first = s.starts();
        s.accept_all(&first);
        let [large, small] = [CORES, CORES / 4].map(|cpu| Resources { cpu, ..Resources::default() });
        let large = s.place_with(2, 1, 5000, large);
        let small = s.place_with(3, 1, 5000, small);
        s.shrink_to(CORES / 2);
        assert_eq!(s.endings(large), [Ending::NotRun]);
        assert!(s.endings(running).is_empty(), "what runs goes on");
        s.end(1, &first[0], EndCause::Done);
        assert!(s.starts().is_empty(), "the other run fills the capacity that is left");
        s.end(2, &first[1], EndCause::Done);
        assert_eq!(s.starts().len(), 1, "the smaller one is not kept waiting by it");
        assert!(s.endings(small).is_empty());
    };
    an_expired_session_stops_its_runs: |mut s| {
        s.place(1, 2, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.disconnect();
        s.advance_to(600);
        assert_eq!(s.stops().len(), 2);
    };
    after_a_suspension_nothing_starts_for_an_expired_session: |mut s| {
        s.place(1, 3, 5000);
        let first = s.starts();
        s.accept_all(&first);
        s.disconnect();
        // the backend server ends a run while the agent is suspended
        s.now = Scene::ms(3000);
        s.end(1, &first[0], EndCause::Done);
        assert!(s.starts().is_empty(), "no start for an expired session");
    };
    // the answer to a heartbeat proves its entry alive only when the heartbeat was sent
    a_delayed_welcome_extends_no_session: |mut s| {
        s.place(1, 1, 5000);
        let order = s.starts().remove(0);
        let sent_at = s.now;
        s.disconnect();
        s.now = Scene::ms(400);
        let now = s.now;
        s.scheduler.extend_session(ENTRY, &"entry".into(), sent_at, now);
        assert!(s.scheduler.lease_for_start(order.key, now).is_some_and(|end| end <= sent_at + s.timings.session_ttl));
        s.now = Scene::ms(600);
        let now = s.now;
        s.scheduler.extend_session(ENTRY, &"entry".into(), sent_at, now);
        assert_eq!(s.scheduler.last_seen(ENTRY), None, "it has expired, and is not opened again");
        assert_eq!(s.scheduler.lease_for_start(order.key, now), None);
    };
    no_start_is_leased_once_its_session_has_expired: |mut s| {
        s.place(1, 1, 5000);
        let order = s.starts().remove(0);
        s.disconnect();
        s.now = Scene::ms(3000);
        let now = s.now;
        // when the agent resumes, another entry calls first, then this one
        s.scheduler.extend_session(SessionId(2), &"other".into(), now, now);
        s.scheduler.extend_session(ENTRY, &"entry".into(), now, now);
        assert_eq!(s.scheduler.lease_for_start(order.key, now), None);
    };
    entries_with_equal_incarnations_have_separate_batches: |mut s| {
        let now = s.now;
        // the same incarnation, because their clocks showed the same microsecond
        let [one, two] = ["entry-1", "entry-2"].map(|name| SessionId::of(name, 7));
        s.scheduler.extend_session(one, &"entry-1".into(), now, now);
        s.scheduler.extend_session(two, &"entry-2".into(), now, now);
        let first = s.place_for(one, 1, "first");
        let second = s.place_for(two, 1, "second");
        let orders = s.starts();
        assert_eq!(orders.len(), 2, "each has its own run");
        s.accept_all(&orders);
        s.advance_to(50);
        s.end(1, &orders[0], EndCause::Done);
        assert_eq!(s.endings(first), [Ending::Done]);
        let now = s.now;
        assert!(s.scheduler.progress(second, 0, now).is_none(), "the other one still runs");
    };
    a_batch_that_ran_is_never_reported_as_never_received: |mut s| {
        let sent_at = s.now;
        let key = s.place(1, 1, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        s.advance_to(50);
        s.end(1, &orders[0], EndCause::Done);
        for ms in (100..20_000).step_by(100) {
            s.advance_to(ms);
            match s.look_up(1, sent_at) {
                BatchLookup::Known(known) => assert_eq!(known, key),
                BatchLookup::Forgotten => return,
                BatchLookup::NeverReceived => panic!("received, and ran, at {ms} ms"),
            }
        }
        panic!("kept for ever");
    };
    the_results_of_a_batch_are_kept_while_its_caller_waits: |mut s| {
        let sent_at = s.now;
        let key = s.place(1, 1, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        s.advance_to(50);
        s.end(1, &orders[0], EndCause::Done);
        s.advance_to(10_000);
        assert_eq!(s.look_up(1, sent_at), BatchLookup::Known(key));
        assert_eq!(s.endings(key), [Ending::Done]);
    };
    a_batch_that_was_just_sent_and_is_unknown_was_never_received: |mut s| {
        let sent_at = s.now;
        s.advance_to(1000);
        assert_eq!(s.look_up(1, sent_at), BatchLookup::NeverReceived);
    };
    an_unknown_batch_that_was_sent_long_ago_may_have_run: |mut s| {
        let sent_at = s.now;
        s.advance_to(60_000);
        assert_eq!(s.look_up(1, sent_at), BatchLookup::Forgotten);
        // entries that don't say when they sent it
        assert_eq!(s.look_up(2, Uptime::ZERO), BatchLookup::Forgotten);
    };
    a_batch_reported_as_never_received_does_not_start_when_it_arrives: |mut s| {
        let sent_at = s.now;
        assert_eq!(s.look_up(1, sent_at), BatchLookup::NeverReceived);
        s.advance_to(20);
        let key = s.place(1, 1, 300);
        assert!(s.starts().is_empty());
        assert_eq!(s.endings(key), [Ending::NotRun]);
    };
    a_batch_that_was_stopped_before_it_arrived_does_not_start: |mut s| {
        let now = s.now;
        s.scheduler.bar(ENTRY, 1, now);
        let key = s.place(1, 1, 300);
        assert!(s.starts().is_empty());
        assert_eq!(s.endings(key), [Ending::NotRun]);
    };
    a_started_task_that_is_returned_still_counts_as_started: |mut s| {
        let key = s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Rejected(RefusalReason::Busy));
        assert_eq!(s.endings(key), [Ending::NotRun]);
        let now = s.now;
        assert!(s.scheduler.progress(key, 0, now).expect("it has ended").started);
    };
    no_lease_without_a_session: |mut s| {
        s.disconnect();
        s.advance_to(600);
        let now = s.now;
        assert_eq!(s.scheduler.renew_lease(now), None);
    };
    no_lease_beyond_the_session: |mut s| {
        s.disconnect();
        s.advance_to(400);
        let timings = s.timings;
        let now = s.now;
        let lease_end = s.scheduler.renew_lease(now).expect("the session is open");
        assert!(lease_end <= Scene::ms(0) + timings.session_ttl, "{lease_end:?}");
    };
    an_unanswered_start_is_voided_before_the_next: |mut s| {
        s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Indeterminate);
        let stops = s.stops();
        assert_eq!(stops, [StopOrder { task: order.task.clone(), run: order.run }]);
        s.list(&[]);
        assert!(s.starts().is_empty(), "not before the stop is confirmed");
        s.confirm(&stops[0]);
        s.advance_to(5);
        s.list(&[]);
        assert_eq!(s.starts()[0].run, order.run + 1);
    };
    an_unanswered_stop_is_ordered_again: |mut s| {
        s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Indeterminate);
        assert_eq!(s.stops().len(), 1);
        s.advance_to(40);
        assert_eq!(s.stops().len(), 1);
    };
    a_cancelled_run_is_not_started_again: |mut s| {
        let key = s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Indeterminate);
        let stop = s.stops().remove(0);
        let now = s.now;
        s.scheduler.cancel_batch(key, now);
        s.confirm(&stop);
        s.advance_to(5);
        s.list(&[]);
        assert!(s.starts().is_empty());
        assert_eq!(s.endings(key), [Ending::Lost]);
    };
    a_used_run_number_is_raised: |mut s| {
        s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Rejected(RefusalReason::Old));
        assert!(s.starts()[0].run > order.run);
    };
    a_start_rejected_for_capacity_is_retried_later: |mut s| {
        s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Rejected(RefusalReason::Room));
        assert!(s.starts().is_empty());
        s.advance_to(30);
        assert_eq!(s.starts().len(), 1);
    };
    a_refused_task_is_returned_as_not_run: |mut s| {
        let key = s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Rejected(RefusalReason::Busy));
        assert_eq!(s.endings(key), [Ending::NotRun]);
    };
    a_restarted_backend_server_has_lost_its_runs: |mut s| {
        let key = s.place(1, 2, 300);
        let first = s.starts();
        s.accept_all(&first);
        let now = s.now;
        s.scheduler.on_listing(&Listing { requested_at: now, started_ms: 2, ..Listing::default() }, now);
        // an order may have reached the new incarnation before the agent noticed it
        assert!(s.scheduler.progress(key, 0, now).is_none(), "not before they are stopped there");
        s.confirm_stops();
        s.now += Duration::from_millis(5);
        let now = s.now;
        s.scheduler.on_listing(&Listing { requested_at: now, started_ms: 2, ..Listing::default() }, now);
        assert_eq!(s.endings(key), [Ending::Lost, Ending::Lost]);
    };
    a_restart_counts_as_a_crash_if_it_ended_runs: |mut s| {
        s.restart(2);
        assert_eq!(s.scheduler.crashes(), 0);
        s.place(1, 2, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        s.restart(3);
        assert_eq!(s.scheduler.crashes(), 1);
    };
    // it may be of another kind, with other labels and another capacity
    nothing_starts_on_a_restarted_backend_server_before_its_announcement: |mut s| {
        let waiting = s.place(1, 3, 300);
        s.starts();
        s.list_restarted(2);
        assert_eq!(s.endings(waiting), [Ending::NotRun], "the queue goes elsewhere");
        let now = s.now;
        assert!(!s.scheduler.load(now).ready);
        assert_eq!(s.scheduler.announced_life(), 0);
        let key = s.place(2, 1, 300);
        assert_eq!(s.endings(key), [Ending::NotRun]);
        assert!(s.starts().is_empty());
        let capacity = Resources { cpu: CORES, ..Resources::default() };
        s.scheduler.on_announcement(1, capacity, false, now);
        assert!(!s.scheduler.load(now).ready, "of the former life");
        s.scheduler.on_announcement(2, capacity, false, now);
        assert!(s.scheduler.load(now).ready);
        assert_eq!(s.scheduler.announced_life(), 2);
    };
    // review-standin planned-restart: done tasks counted as lost until as many had ended
    ends_of_a_server_that_left_do_not_hide_those_of_the_next: |mut s| {
        let first = s.place(1, 2, 300);
        for (sequence, order) in (1..).zip(s.starts()) {
            s.answer(&order, StartOutcome::Accepted);
            s.end(sequence, &order, EndCause::Done);
        }
        assert_eq!(s.endings(first), [Ending::Done, Ending::Done]);
        let now = s.now;
        s.scheduler.on_backend_exit(now);
        s.restart(2);
        let key = s.place(2, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Accepted);
        let row = RunEnd { sequence: 1, task: order.task.clone(), run: order.run, cause: EndCause::Done };
        s.now += Duration::from_millis(5);
        let now = s.now;
        let listing = Listing { requested_at: now, started_ms: 2, running: vec![], ended: vec![row] };
        s.scheduler.on_listing(&listing, now);
        assert_eq!(s.endings(key), [Ending::Done]);
        assert_eq!(s.scheduler.last_acked(), 1);
    };
    // the clock of its VM was set back between the two
    a_server_that_started_anew_with_an_earlier_time_is_a_new_one: |mut s| {
        s.restart(9);
        s.list_restarted(4);
        assert_eq!(s.scheduler.announced_life(), 0);
        s.restart(4);
        assert_eq!(s.scheduler.announced_life(), 4);
    };
    a_planned_exit_is_no_crash_of_the_runs_left: |mut s| {
        s.place(1, 1, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        let now = s.now;
        s.scheduler.on_backend_exit(now);
        s.restart(2);
        assert_eq!(s.scheduler.crashes(), 0);
    };
    nothing_starts_while_another_life_may_have_begun: |mut s| {
        s.scheduler.doubt_life();
        s.place(1, 1, 300);
        assert!(s.starts().is_empty());
        s.list(&[]);
        assert_eq!(s.starts().len(), 1);
    };
    an_unanswered_start_is_voided_in_the_next_incarnation: |mut s| {
        let key = s.place(1, 1, 300);
        let order = s.starts().remove(0);
        let now = s.now;
        s.scheduler.on_listing(&Listing { requested_at: now, started_ms: 2, ..Listing::default() }, now);
        assert!(s.scheduler.progress(key, 0, now).is_none(), "it may still start there");
        let effects = s.scheduler.take_effects();
        let fence = effects.iter().position(|e| *e == Effect::RaiseFence).expect("the fencing token is raised");
        let void = StopOrder { task: order.task.clone(), run: order.run };
        let stop = effects.iter().position(|e| *e == Effect::Stop(void.clone()));
        assert!(stop.expect("it is voided") > fence, "under the new token");
        s.now += Duration::from_millis(5);
        let now = s.now;
        s.scheduler.on_stop_confirmed(&void, now);
        assert!(s.scheduler.progress(key, 0, now).is_none(), "not before a listing lacks it");
        s.now += Duration::from_millis(5);
        s.restart(2);
        assert!(s.starts().is_empty(), "it may have caused the crash");
        assert_eq!(s.endings(key), [Ending::Lost]);
        let crash = s.crashes(key)[0].expect("it crashed");
        assert!(crash.suspicion > 0.8, "{crash:?}");
        assert!(!crash.proven, "it may not have started");
    };
    an_order_left_unanswered_by_a_crash_is_not_repeated_after_it: |mut s| {
        let key = s.place(1, 1, 9000);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Indeterminate);
        s.restart(2);
        s.confirm_stops();
        s.advance_to(5);
        s.restart(2);
        assert!(s.starts().is_empty());
        assert_eq!(s.endings(key), [Ending::Lost]);
    };
    undelivered_renewals_extend_no_lease: |mut s| {
        let key = s.place(1, 1, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        s.fail_renewals(0..400, Delivery::Failed);
        assert!(s.endings(key).is_empty(), "the lease of the start lasts");
        s.fail_renewals(400..700, Delivery::Failed);
        assert_eq!(s.endings(key), [Ending::Lost]);
    };
    renewals_without_an_answer_extend_the_lease: |mut s| {
        let key = s.place(1, 1, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        s.fail_renewals(0..3000, Delivery::Possible);
        assert!(s.endings(key).is_empty(), "a silent backend server may run it");
        assert_eq!(s.scheduler.crashes(), 0);
    };
    the_newest_run_is_suspected_most_of_a_crash: |mut s| {
        let old = s.place(1, 1, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        s.advance_to(90);
        s.list_progress(&orders[0], 30);
        let new = s.place(2, 1, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        s.fail_renewals(100..800, Delivery::Failed);
        assert_eq!(s.scheduler.crashes(), 1);
        let [old, new] = [old, new].map(|key| s.crashes(key)[0].expect("it crashed").suspicion);
        assert!((old - 1.0 / 12.0).abs() < 0.001, "{old} after 100 ms");
        assert!((new - 10.0 / 12.0).abs() < 0.001, "{new} after 10 ms");
    };
    tasks_of_one_job_are_suspected_together: |mut s| {
        let key = s.place(1, 2, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        s.fail_renewals(100..800, Delivery::Failed);
        let crash = Some(Crash { suspicion: 0.5, proven: true });
        assert_eq!(s.crashes(key), [crash; 2], "as likely as the server itself");
    };
    an_end_of_another_cause_is_no_crash: |mut s| {
        let key = s.place(1, 1, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        s.advance_to(50);
        s.end(1, &orders[0], EndCause::Failed);
        assert_eq!(s.crashes(key), [None]);
    };
    the_exit_of_a_draining_backend_server_is_no_crash: |mut s| {
        let key = s.place(1, 1, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        s.announce(Phase { draining: true, ..Phase::default() });
        s.fail_renewals(100..800, Delivery::Failed);
        assert_eq!(s.endings(key), [Ending::Lost]);
        assert_eq!(s.crashes(key), [None]);
    };
    an_order_that_a_crash_left_unanswered_is_no_proof_that_its_run_started: |mut s| {
        let key = s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Indeterminate);
        s.fail_renewals(10..800, Delivery::Failed);
        assert!(!s.crashes(key)[0].expect("it may have run").proven);
    };
    an_announcement_of_an_earlier_incarnation_is_ignored: |mut s| {
        let key = s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        let now = s.now;
        s.scheduler.on_announcement(0, Resources { cpu: CORES, ..Resources::default() }, false, now);
        assert!(s.scheduler.progress(key, 0, now).is_none(), "it still runs");
    };
    a_run_missing_from_the_listing_is_lost: |mut s| {
        let key = s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.advance_to(10);
        s.list(&[]);
        assert_eq!(s.endings(key), [Ending::Lost]);
    };
    a_listing_requested_before_the_start_is_ignored: |mut s| {
        let key = s.place(1, 1, 300);
        let requested_at = s.now;
        let first = s.starts();
        s.now += Duration::from_millis(5);
        s.accept_all(&first);
        s.now += Duration::from_millis(5);
        let now = s.now;
        s.scheduler.on_listing(&Listing { requested_at, started_ms: 1, ..Listing::default() }, now);
        assert!(s.scheduler.progress(key, 0, now).is_none(), "it may run");
    };
    an_orphan_run_is_stopped_and_no_work_accepted_meanwhile: |mut s| {
        let orphan = TaskRef { job: "orphan".into(), index: 0 };
        let row = RunProgress { task: orphan.clone(), run: 7, percent: 10 };
        let now = s.now;
        s.scheduler.on_listing(&Listing { requested_at: now, started_ms: 1, running: vec![row], ended: vec![] }, now);
        assert_eq!(s.stops(), [StopOrder { task: orphan, run: 7 }]);
        assert!(!s.scheduler.load(now).ready);
        s.advance_to(5);
        s.list(&[]);
        assert!(s.scheduler.load(now).ready);
    };
    // review/13: runs of a killed agent went on under leases of the process after it
    no_lease_before_the_first_listing_of_a_process: |mut s| {
        s.begin_process();
        let now = s.now;
        assert_eq!(s.scheduler.renew_lease(now), None, "runs of the former process may go on");
        s.scheduler.on_listing_failed(now);
        assert_eq!(s.scheduler.renew_lease(now), None, "nothing is known yet");
        s.list(&[]);
        assert!(s.scheduler.renew_lease(now).is_some());
    };
    no_lease_while_an_orphan_run_goes_on: |mut s| {
        s.begin_process();
        for ms in [0, 20, 40] {
            s.advance_to(ms);
            s.list(&[Scene::orphan()]);
            let now = s.now;
            assert_eq!(s.scheduler.renew_lease(now), None, "at {ms} ms");
        }
        // an unanswered listing proves no end
        s.advance_to(60);
        let now = s.now;
        s.scheduler.on_listing_failed(now);
        assert_eq!(s.scheduler.renew_lease(now), None);
        s.list(&[]);
        assert!(s.scheduler.renew_lease(now).is_some());
    };
    // an order of the former process that was carried out after the first listing
    no_lease_while_an_orphan_run_goes_on_beside_others: |mut s| {
        s.place(1, 2, 300);
        let orders = s.starts();
        s.answer(&orders[0], StartOutcome::Accepted);
        let own = RunProgress { task: orders[0].task.clone(), run: orders[0].run, percent: 1 };
        s.list(&[own.clone(), Scene::orphan()]);
        let now = s.now;
        assert_eq!(s.scheduler.renew_lease(now), None);
        assert_eq!(s.scheduler.lease_for_start(orders[1].key, now), None, "an order has a lease too");
        s.list(&[own]);
        assert!(s.scheduler.renew_lease(now).is_some());
        assert!(s.scheduler.lease_for_start(orders[1].key, now).is_some());
    };
    no_lease_before_the_first_listing_of_a_restarted_backend_server: |mut s| {
        s.extend_session();
        let now = s.now;
        s.scheduler.on_announcement(2, Resources { cpu: CORES, ..Resources::default() }, false, now);
        assert_eq!(s.scheduler.renew_lease(now), None, "it may have got orders of before");
        s.restart(2);
        assert!(s.scheduler.renew_lease(now).is_some());
    };
    // its task may run elsewhere, and the stop may get no answer
    no_lease_outlives_the_runs_of_a_lost_entry_for_another: |mut s| {
        let key = s.place(1, 1, 300);
        let orders = s.starts();
        s.accept_all(&orders);
        s.disconnect();
        let LeaseTimings { session_ttl, lease_ttl, .. } = s.timings;
        let last = Scene::ms(0) + session_ttl + lease_ttl;
        for ms in (0..1150).step_by(50) {
            s.advance_to(ms);
            let now = s.now;
            s.scheduler.extend_session(SessionId(2), &"other".into(), now, now);
            let lease = s.scheduler.renew_lease(now);
            assert!(lease.is_none_or(|end| end <= last), "at {ms} ms: {lease:?}");
            assert_eq!(lease.is_some(), now < last, "at {ms} ms");
            s.list_progress(&orders[0], 10);
        }
        s.advance_to(1200);
        let now = s.now;
        s.scheduler.extend_session(SessionId(2), &"other".into(), now, now);
        assert_eq!(s.endings(key), [Ending::Lost], "the lease has expired");
        assert!(s.scheduler.renew_lease(now).is_some());
    };
    the_stop_of_an_orphan_run_is_ordered_until_it_is_confirmed: |mut s| {
        s.begin_process();
        s.list(&[Scene::orphan()]);
        let stops = s.stops();
        assert_eq!(stops.len(), 1);
        s.advance_to(10);
        s.list(&[Scene::orphan()]);
        assert!(s.stops().is_empty(), "an answer may still arrive");
        let now = s.now;
        assert!(s.scheduler.next_due(now) <= Scene::ms(30));
        s.advance_to(30);
        assert_eq!(s.stops(), stops);
        s.confirm(&stops[0]);
        s.advance_to(60);
        s.list(&[Scene::orphan()]);
        assert!(s.stops().is_empty(), "it is being stopped");
    };
    an_overtaken_listing_shows_no_orphan_run: |mut s| {
        s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.advance_to(50);
        s.end(1, &first[0], EndCause::Done);
        // a listing made before the run ended, and read after the end
        s.list_progress(&first[0], 90);
        assert!(s.stops().is_empty());
        let now = s.now;
        assert!(s.scheduler.load(now).ready);
    };
    an_unresponsive_backend_server_gets_nothing: |mut s| {
        let now = s.now;
        s.scheduler.on_listing_failed(now);
        s.scheduler.on_listing_failed(now);
        assert!(!s.scheduler.load(now).ready);
    };
    expired_leases_end_all_runs: |mut s| {
        let key = s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.advance_to(2000);
        assert_eq!(s.endings(key), [Ending::Lost], "no listing for longer than any lease");
    };
    a_draining_backend_server_gets_nothing_and_keeps_its_runs: |mut s| {
        let key = s.place(1, 3, 300);
        let first = s.starts();
        s.accept_all(&first);
        let now = s.now;
        s.scheduler.on_announcement(1, Resources { cpu: CORES, ..Resources::default() }, true, now);
        assert_eq!(s.endings(key), [Ending::NotRun]);
        assert!(s.stops().is_empty());
        let other = s.place(2, 1, 300);
        assert_eq!(s.endings(other), [Ending::NotRun]);
    };
    // an entry that doesn't know of the drain still sends tasks
    a_drained_data_centre_gets_nothing_and_keeps_its_runs: |mut s| {
        let key = s.place(1, 3, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.set_centre(CentreState::Drained);
        assert_eq!(s.endings(key), [Ending::NotRun], "the queue goes elsewhere");
        assert!(s.stops().is_empty(), "runs end there");
        let now = s.now;
        assert!(!s.scheduler.load(now).ready);
        s.end(1, &first[0], EndCause::Done);
        let other = s.place(2, 1, 300);
        assert_eq!(s.endings(other), [Ending::NotRun]);
        assert!(s.starts().is_empty());
    };
    // the order may wait to be sent when the drain begins
    a_start_ordered_before_the_drain_gets_no_lease: |mut s| {
        let key = s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.set_centre(CentreState::Drained);
        let now = s.now;
        assert_eq!(s.scheduler.lease_for_start(order.key, now), None);
        s.scheduler.on_start_outcome(
            order.key,
            StartOutcome::Rejected(RefusalReason::Late),
            now,
        );
        assert_eq!(s.endings(key), [Ending::NotRun]);
        assert!(s.starts().is_empty());
    };
    // an order in flight when the drain begins would be repeated
    a_refused_start_is_not_repeated_in_a_drained_data_centre: |mut s| {
        let key = s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.set_centre(CentreState::Drained);
        let now = s.now;
        s.scheduler.on_start_outcome(
            order.key,
            StartOutcome::Rejected(RefusalReason::Room),
            now,
        );
        s.advance_to(100);
        assert!(s.starts().is_empty());
        assert_eq!(s.endings(key), [Ending::NotRun]);
    };
    an_unanswered_start_is_not_repeated_in_a_drained_data_centre: |mut s| {
        let key = s.place(1, 1, 300);
        let order = s.starts().remove(0);
        s.answer(&order, StartOutcome::Indeterminate);
        s.set_centre(CentreState::Drained);
        s.confirm_stops();
        s.advance_to(20);
        s.list(&[]);
        assert!(s.starts().is_empty());
        assert_eq!(s.endings(key), [Ending::NotRun]);
    };
    // a drain taken back would leave the capacity unused
    a_data_centre_is_used_again_after_its_drain: |mut s| {
        s.set_centre(CentreState::Drained);
        s.set_centre(CentreState::InUse);
        let now = s.now;
        assert!(s.scheduler.load(now).ready);
        s.place(1, 1, 300);
        assert_eq!(s.starts().len(), 1);
    };
    a_stopping_agent_returns_its_queue: |mut s| {
        let key = s.place(1, 3, 300);
        let first = s.starts();
        s.accept_all(&first);
        let now = s.now;
        s.scheduler.drain(now);
        assert_eq!(s.endings(key), [Ending::NotRun]);
        assert!(s.stops().is_empty());
        s.scheduler.stop_all(now);
        assert_eq!(s.stops().len(), 2);
    };
    an_end_counts_once: |mut s| {
        let key = s.place(1, 2, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.end(1, &first[0], EndCause::Failed);
        s.end(1, &first[0], EndCause::Failed);
        assert_eq!(s.endings(key), [Ending::Failed]);
        assert_eq!(s.scheduler.last_acked(), 1);
    };
    // a run that is cut off by the exit is known as lost only when its lease has expired
    runs_that_can_t_end_before_the_server_exits_are_stopped: |mut s| {
        let key = s.place(1, 2, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.advance_to(100);
        let row = |order: &StartOrder, percent| {
            RunProgress { task: order.task.clone(), run: order.run, percent }
        };
        // they end at 200 ms and at 1000 ms
        let rows = [row(&first[0], 50), row(&first[1], 10)];
        s.list(&rows);
        s.announce(Phase { draining: true, remaining: Some(Scene::span(400)), ..Phase::default() });
        let stops = s.stops();
        assert_eq!(stops, [StopOrder { task: first[1].task.clone(), run: 1 }]);
        s.confirm(&stops[0]);
        s.advance_to(110);
        s.list(&rows[..1]);
        assert_eq!(s.endings(key), [Ending::Lost], "returned early");
        assert_eq!(s.scheduler.cut_short(), 1);
        s.advance_to(200);
        s.end(1, &first[0], EndCause::Done);
        assert_eq!(s.endings(key), [Ending::Lost, Ending::Done], "the other one has ended");
    };
    a_run_without_progress_is_judged_by_its_estimate: |mut s| {
        s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.advance_to(20);
        s.announce(Phase { draining: true, remaining: Some(Scene::span(81)), ..Phase::default() });
        assert!(s.stops().is_empty(), "its 100 ms end before the exit");
        s.announce(Phase { draining: true, remaining: Some(Scene::span(79)), ..Phase::default() });
        assert_eq!(s.stops().len(), 1);
    };
    a_run_that_falls_behind_before_the_exit_is_stopped: |mut s| {
        s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.announce(Phase { draining: true, remaining: Some(Scene::span(500)), ..Phase::default() });
        s.advance_to(100);
        s.list_progress(&first[0], 40);
        assert!(s.stops().is_empty(), "it ends at 250 ms");
        s.advance_to(300);
        s.list_progress(&first[0], 50);
        assert_eq!(s.stops().len(), 1, "it ends at 600 ms");
    };
    runs_on_a_server_that_names_no_time_go_on: |mut s| {
        s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.announce(true.into());
        // without `draining` a time means nothing
        s.announce(Phase { remaining: Some(Duration::ZERO), ..Phase::default() });
        s.advance_to(200);
        s.list_progress(&first[0], 1);
        assert!(s.stops().is_empty());
    };
    run_times_on_a_cold_server_are_not_recorded: |mut s| {
        s.announce(Phase { cold_remaining: Scene::span(450), ..Phase::default() });
        s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.advance_to(400);
        s.list_progress(&first[0], 60);
        // it began while the server was cold, and ends later
        s.advance_to(500);
        s.end(1, &first[0], EndCause::Done);
        let now = s.now;
        assert_eq!(s.scheduler.load(now).slowness, 1.0);
        s.place(2, 1, 300);
        let second = s.starts();
        s.accept_all(&second);
        s.advance_to(800);
        s.end(2, &second[0], EndCause::Done);
        let now = s.now;
        assert!(s.scheduler.load(now).slowness > 2.0, "300 ms instead of 100");
    };
    a_run_stalls_later_on_a_cold_server: |mut s| {
        s.announce(Phase { cold_remaining: Scene::span(700), ..Phase::default() });
        s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        for at in [10, 200, 400, 600] {
            s.advance_to(at);
            s.list_progress(&first[0], 5);
        }
        assert!(s.stops().is_empty(), "590 ms without progress");
        s.advance_to(620);
        s.list_progress(&first[0], 5);
        assert_eq!(s.stops().len(), 1, "610 ms");
    };
    a_server_that_is_warm_earlier_is_treated_as_warm: |mut s| {
        s.announce(Phase { cold_remaining: Scene::span(5000), ..Phase::default() });
        s.advance_to(10);
        s.announce(Phase::default());
        s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        for at in [20, 200, 330] {
            s.advance_to(at);
            s.list_progress(&first[0], 5);
        }
        assert_eq!(s.stops().len(), 1, "310 ms without progress");
    };
    a_stalled_run_is_stopped: |mut s| {
        s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        for at in [10, 100, 200, 320] {
            s.advance_to(at);
            s.list_progress(&first[0], 5);
        }
        assert_eq!(s.stops().len(), 1);
    };
    // an agent suspended for less than a session must not give up healthy runs
    a_listing_from_before_a_suspension_shows_no_stall: |mut s| {
        s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        s.advance_to(10);
        s.list_progress(&first[0], 5);
        s.advance_to(20);
        let requested_at = s.now;
        // answered at once, and read when the agent resumes
        s.now = Scene::ms(400);
        let row = RunProgress { task: first[0].task.clone(), run: first[0].run, percent: 5 };
        let listing = Listing { requested_at, started_ms: 1, running: vec![row], ended: vec![] };
        let now = s.now;
        s.scheduler.on_listing(&listing, now);
        assert!(s.stops().is_empty(), "the listing is old, not the progress");
        s.advance_to(410);
        s.list_progress(&first[0], 60);
        assert!(s.stops().is_empty());
    };
    a_run_with_progress_is_not_stopped: |mut s| {
        s.place(1, 1, 300);
        let first = s.starts();
        s.accept_all(&first);
        for (at, percent) in [(10, 5), (300, 20), (590, 40), (880, 60)] {
            s.advance_to(at);
            s.list_progress(&first[0], percent);
        }
        assert!(s.stops().is_empty());
    };
    a_failing_backend_server_is_only_probed: |mut s| {
        for n in 1..=3 {
            s.place(n, 1, 300);
            let first = s.starts();
            s.accept_all(&first);
            s.end(n, &first[0], EndCause::Failed);
        }
        let now = s.now;
        assert!(s.scheduler.load(now).suspect);
        assert!(!s.scheduler.load(now).ready);
        s.advance_to(1100);
        let now = s.now;
        assert!(s.scheduler.load(now).ready, "one probe is due");
        s.place(4, 2, 300);
        assert_eq!(s.starts().len(), 1, "one task, not two");
    };
    a_repeated_batch_is_queued_once: |mut s| {
        let key = s.place(1, 1, 300);
        assert_eq!(s.place(1, 1, 300), key);
        assert_eq!(s.starts().len(), 1);
    };
    a_batch_of_an_expired_session_is_returned: |mut s| {
        s.disconnect();
        s.advance_to(600);
        let key = s.place(1, 1, 300);
        assert_eq!(s.endings(key), [Ending::NotRun]);
        assert!(s.starts().is_empty());
    };
}

// the same job reached two entries, and the first one's run of it goes on here
#[test]
fn a_task_returned_because_it_runs_here_counts_as_started() {
    let other = SessionId(2);
    let mut s = Scene::new();
    let first = s.place(1, 1, 300);
    let orders = s.starts();
    s.accept_all(&orders);
    s.scheduler.extend_session(other, &"other".into(), s.now, s.now);
    let second = s.place_for(other, 1, "job-1");
    let now = s.now;
    assert!(s.scheduler.progress(first, 0, now).is_none(), "it runs");
    let progress = s.scheduler.progress(second, 0, now).expect("it is returned");
    assert_eq!(progress.results[0].ending, Ending::NotRun);
    assert!(progress.started, "no entry may say that the job has not run");
}

#[test]
fn timings_end_all_runs_before_a_job_is_sent_again() {
    for resend in [700, 1000, 1300, 2500, 9000] {
        for hold in [300, 600, 1000, 5000] {
            let bounds = LeaseBounds {
                resend_delay: Duration::from_millis(resend),
                max_lease: Duration::from_millis(hold),
                ..LeaseBounds::default()
            };
            let timings = LeaseTimings::new(&bounds).expect("the bounds leave enough time");
            assert!(timings.run_expiry <= bounds.resend_delay, "{timings:?} for {bounds:?}");
            assert!(
                LeaseTimings::worst_case_expiry(timings.lease_ttl) <= bounds.max_lease,
                "{timings:?} for {bounds:?}"
            );
            assert!(
                timings.renewal_interval() * 3 < timings.lease_ttl
                    && timings.idle_renewal_interval() * 2 <= timings.lease_ttl
                    && timings.heartbeat_interval() * 3 < timings.session_ttl
            );
        }
    }
}

#[test]
fn heartbeats_extend_sessions_in_time_and_report_the_load() {
    let timings = LeaseTimings::new(&LeaseBounds::default()).expect("the bounds leave enough time");
    let at = Duration::from_millis;
    let (report, heartbeat) = (timings.report_interval(), timings.heartbeat_interval());
    let due = |last_seen: Option<Duration>, has_work| {
        timings.heartbeat_due(at(1000), last_seen, has_work)
    };
    // work that depends on the session needs it extended, unless a call has done so
    assert_eq!(due(Some(at(1000)), true), at(1000) + heartbeat);
    assert_eq!(due(Some(at(1060)), true), at(1060) + heartbeat);
    // the load is reported although calls of the entry extend the session
    assert_eq!(due(Some(at(1250)), true), at(1000) + report);
    // without work only the load matters
    assert_eq!(due(Some(at(1000)), false), at(1000) + report);
    assert_eq!(due(None, false), at(1000) + report);
    // one report may be lost before the session expires or the agent counts as gone
    assert!(report * 2 <= timings.session_ttl && report * 2 < timings.report_timeout());
}

#[test]
fn bounds_without_enough_time_are_an_error() {
    let bounds = LeaseBounds { resend_delay: Duration::from_millis(400), ..LeaseBounds::default() };
    let error = LeaseTimings::new(&bounds).expect_err("too little time").to_string();
    assert!(error.contains("604"), "names the minimum: {error}");
}

/// One agent, a backend server with capacity for two tasks, and one entry.
struct Scene {
    scheduler: Scheduler,
    timings: LeaseTimings,
    now: Uptime,
    is_connected: bool,
    effects: Vec<Effect>,
}

impl Scene {
    fn new() -> Self {
        let mut scene = Self::unlisted();
        scene.list(&[]);
        scene
    }

    /// A scene before the first listing.
    fn unlisted() -> Self {
        let timings = LeaseTimings::new(&LeaseBounds::default()).expect("defaults are valid");
        let settings =
            SchedulerSettings { timings, health: HealthSettings::default(), max_queued: 100 };
        let mut scene = Self {
            scheduler: Scheduler::new(settings),
            timings,
            now: Self::ms(0),
            is_connected: true,
            effects: Vec::new(),
        };
        scene.scheduler.on_announcement(
            1,
            Resources { cpu: CORES, ..Resources::default() },
            false,
            scene.now,
        );
        scene
    }

    /// A time in the scene; the machine booted earlier.
    fn ms(ms: u64) -> Uptime {
        Duration::from_millis(100_000 * u64::from(ms < 100_000) + ms)
    }

    /// Another process of the agent begins; the backend server has announced itself.
    fn begin_process(&mut self) {
        *self = Self { now: self.now, ..Self::unlisted() };
        self.extend_session();
    }

    fn orphan() -> RunProgress {
        RunProgress { task: TaskRef { job: "orphan".into(), index: 0 }, run: 7, percent: 10 }
    }

    /// The entry is not heard from any more.
    fn disconnect(&mut self) {
        self.extend_session();
        self.is_connected = false;
    }

    fn span(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn announce(&mut self, phase: Phase) {
        let capacity = Resources { cpu: CORES, ..Resources::default() };
        self.scheduler.on_announcement(1, capacity, phase, self.now);
    }

    fn shrink_to(&mut self, cpu: u32) {
        let capacity = Resources { cpu, ..Resources::default() };
        self.scheduler.on_announcement(1, capacity, false, self.now);
    }

    fn extend_session(&mut self) {
        if self.is_connected {
            self.scheduler.extend_session(ENTRY, &"entry".into(), self.now, self.now);
        }
    }

    fn set_centre(&mut self, state: CentreState) {
        self.scheduler.set_centre_state(state, self.now);
    }

    fn advance_to(&mut self, ms: u64) {
        self.now = Self::ms(ms);
        self.extend_session();
        self.scheduler.tick(self.now);
    }

    fn place(&mut self, number: u64, tasks: u32, wait_ms: u64) -> BatchKey {
        self.place_with(
            number,
            tasks,
            wait_ms,
            Resources { cpu: CORES / 2, ..Resources::default() },
        )
    }

    fn place_with(
        &mut self,
        number: u64,
        tasks: u32,
        wait_ms: u64,
        resources: Resources,
    ) -> BatchKey {
        self.extend_session();
        let batch = Self::batch(number, &format!("job-{number}"), tasks, wait_ms, resources);
        self.scheduler.place(ENTRY, batch, self.now)
    }

    /// Places a task of another entry.
    fn place_for(&mut self, entry: SessionId, number: u64, job: &str) -> BatchKey {
        let resources = Resources { cpu: CORES / 2, ..Resources::default() };
        self.scheduler.place(entry, Self::batch(number, job, 1, 300, resources), self.now)
    }

    fn batch(number: u64, job: &str, tasks: u32, wait_ms: u64, resources: Resources) -> Batch {
        Batch {
            number,
            job: job.into(),
            queue: "queue".into(),
            spec: "spec".into(),
            resources,
            estimate: Duration::from_millis(100),
            class: Class::default(),
            max_wait: Duration::from_millis(wait_ms),
            time_left: CALLER_WAIT,
            tasks: (0..tasks).map(|index| BatchTask { index, run: 1 }).collect(),
        }
    }

    fn look_up(&mut self, number: u64, sent_at: Uptime) -> BatchLookup {
        self.scheduler.look_up(ENTRY, number, sent_at, CALLER_WAIT, self.now)
    }

    fn take_effects(&mut self) {
        self.effects.extend(self.scheduler.take_effects());
    }

    fn starts(&mut self) -> Vec<StartOrder> {
        self.take_effects();
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
            self.scheduler.on_stop_confirmed(&stop, now);
        }
    }

    fn stops(&mut self) -> Vec<StopOrder> {
        self.take_effects();
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
        assert!(self.scheduler.lease_for_start(order.key, self.now).is_some());
        self.scheduler.on_start_outcome(order.key, started, self.now);
    }

    fn accept_all(&mut self, orders: &[StartOrder]) {
        for order in orders {
            self.answer(order, StartOutcome::Accepted);
        }
    }

    fn confirm(&mut self, order: &StopOrder) {
        self.scheduler.on_stop_confirmed(order, self.now);
    }

    /// Renews the lease and handles the listing in the answer.
    fn list(&mut self, running: &[RunProgress]) {
        self.scheduler.renew_lease(self.now);
        let listing = Listing {
            requested_at: self.now,
            started_ms: 1,
            running: running.to_vec(),
            ended: vec![],
        };
        self.scheduler.on_listing(&listing, self.now);
    }

    fn list_progress(&mut self, order: &StartOrder, percent: u32) {
        self.list(&[RunProgress { task: order.task.clone(), run: order.run, percent }]);
    }

    /// Handles the first listing of a later incarnation of the backend server.
    fn list_restarted(&mut self, started_ms: u64) {
        let listing = Listing { requested_at: self.now, started_ms, ..Listing::default() };
        self.scheduler.on_listing(&listing, self.now);
    }

    /// Handles the first listing and the first announcement of a later incarnation.
    fn restart(&mut self, started_ms: u64) {
        self.list_restarted(started_ms);
        let capacity = Resources { cpu: CORES, ..Resources::default() };
        self.scheduler.on_announcement(started_ms, capacity, false, self.now);
    }

    /// Handles a listing with one ended run; other runs go on.
    fn end(&mut self, sequence: u64, order: &StartOrder, cause: EndCause) {
        let row = RunEnd { sequence, task: order.task.clone(), run: order.run, cause };
        // requested long ago, so that runs it lacks may still be running
        let listing = Listing {
            requested_at: Uptime::ZERO,
            started_ms: 1,
            running: Vec::new(),
            ended: vec![row],
        };
        self.scheduler.on_listing(&listing, self.now);
    }

    /// Lets all renewals of a period fail, one each 50 ms.
    fn fail_renewals(&mut self, period: Range<u64>, delivery: Delivery) {
        for ms in period.step_by(50) {
            self.advance_to(ms);
            let lease = self.scheduler.renew_lease(self.now).expect("the session is open");
            self.scheduler.settle_lease(lease, delivery);
            match delivery {
                Delivery::Possible => self.scheduler.on_listing_failed(self.now),
                Delivery::Failed => self.scheduler.on_not_listening(self.now),
            }
        }
    }

    fn crashes(&mut self, key: BatchKey) -> Vec<Option<Crash>> {
        let progress = self.scheduler.progress(key, 0, self.now);
        progress.map(|p| p.results.iter().map(|s| s.crash).collect()).unwrap_or_default()
    }

    fn endings(&mut self, key: BatchKey) -> Vec<Ending> {
        let progress = self.scheduler.progress(key, 0, self.now);
        progress.map(|p| p.results.iter().map(|s| s.ending).collect()).unwrap_or_default()
    }
}
