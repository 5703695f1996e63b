//! Where the placer puts tasks, one situation a case.

use std::time::Duration;

use lease::{AgentLoad, Resources};
use placement::{AgentView, Demand, Goal, Objective, ObjectiveSettings, Placer, PlacerSettings};

const TASK: Resources = Resources { cpu: 6000, memory: 64, gpu: 0 };

macro_rules! cases {
    ($($name:ident: $case:expr;)*) => {
        $(#[test] fn $name() { let case: fn() = $case; case(); })*
    };
}

cases! {
    idle_agents_get_the_tasks_where_they_end_first: || {
        let parts = spread(&[idle(1.8), idle(0.8)], 3, Goal::InTime);
        assert_eq!(parts, [(1, 3)]);
    };
    room_on_a_slow_agent_goes_before_a_wait_on_a_fast_one: || {
        let parts = spread(&[full(0.8, 20), idle(1.4)], 2, Goal::InTime);
        assert_eq!(parts, [(1, 2)]);
    };
    a_wait_on_a_fast_agent_goes_before_what_can_t_end_in_time: || {
        let parts = spread(&[full(0.8, 20), idle(3.0)], 1, Goal::InTime);
        assert_eq!(parts, [(0, 1)]);
    };
    what_can_t_end_in_time_has_no_place: || {
        assert!(spread(&[full(0.8, 500), idle(3.0)], 1, Goal::InTime).is_empty());
    };
    late_work_takes_any_room_but_never_waits: || {
        assert_eq!(spread(&[full(0.8, 1), idle(3.0)], 1, Goal::AnyRoom), [(1, 1)]);
        assert!(spread(&[full(0.8, 1)], 1, Goal::AnyRoom).is_empty());
    };
    what_was_sent_and_not_yet_reported_counts: || {
        let mut seat = idle(0.8);
        seat.unreported = TASK.times(10);
        assert_eq!(spread(&[seat, idle(1.4)], 1, Goal::InTime), [(1, 1)]);
    };
    an_agent_that_takes_no_work_gets_none: || {
        let mut seat = idle(0.8);
        seat.load.ready = false;
        assert!(spread(&[seat], 1, Goal::InTime).is_empty());
    };
    an_excluded_agent_gets_none: || {
        let excluded = AgentView { excluded: true, ..idle(0.8) };
        assert!(spread(&[excluded], 1, Goal::AnyRoom).is_empty());
    };
    a_suspect_agent_gets_one_task_of_a_job: || {
        let mut seat = idle(0.8);
        seat.load.suspect = true;
        assert_eq!(spread(&[seat], 3, Goal::InTime), [(0, 1)]);
    };
    a_task_larger_than_an_agent_has_no_place: || {
        let mut seat = idle(0.8);
        seat.load.capacity = Resources { cpu: 5000, ..seat.load.capacity };
        assert!(spread(&[seat], 1, Goal::AnyRoom).is_empty());
    };
    tasks_that_must_be_apart_are: || {
        let seats = [0.8, 0.9, 1.0].map(|slowness| AgentView { max_tasks: Some(1), ..idle(slowness) });
        assert_eq!(spread(&seats, 3, Goal::InTime), [(0, 1), (1, 1), (2, 1)]);
    };
    far_from_the_data_is_slower: || {
        let far = AgentView { distance_factor: 1.5, ..idle(1.0) };
        assert_eq!(spread(&[far, idle(1.2)], 1, Goal::InTime), [(1, 1)]);
    };
    two_entries_with_one_view_choose_differently: || {
        let seats = vec![idle(1.0); 20];
        let mut chosen: Vec<usize> = (0..20)
            .map(|seed| {
                let mut placer = Placer::new(PlacerSettings::default(), seed);
                placer.plan(&seats, &ask(1), Goal::InTime).assignments[0].agent
            })
            .collect();
        chosen.sort_unstable();
        chosen.dedup();
        assert!(chosen.len() > 8, "{} of 20", chosen.len());
    };
    refused_callers_come_back_at_different_times: || {
        let mut placer = placer();
        let seats = [full(1.0, 300)];
        let mut times: Vec<Duration> =
            (0..50).map(|_| placer.refuse(&seats, &ask(1)).retry_after).collect();
        times.sort_unstable();
        assert!(times[0] >= Duration::from_millis(300), "not before there may be room");
        assert!(times[49] > times[0].mul_f64(1.5), "spread over time");
    };
}

#[test]
fn an_objective_leaves_time_for_the_run_and_for_estimates_that_are_too_low() {
    let objective = objective();
    assert_eq!(objective.target, Duration::from_millis(220));
    let run = Duration::from_millis(100);
    let wait = objective.max_wait(Duration::ZERO, run).expect("there is time");
    assert!(wait > Duration::from_millis(60) && wait + run < objective.target, "{wait:?}");
    assert!(objective.max_wait(Duration::from_millis(50), run) < Some(wait), "waits add up");
    assert_eq!(objective.max_wait(Duration::ZERO, Duration::from_millis(300)), None);
}

fn placer() -> Placer {
    Placer::new(PlacerSettings::default(), 7)
}

/// Seat and number of tasks of each part.
fn spread(seats: &[AgentView], count: usize, aim: Goal) -> Vec<(usize, usize)> {
    let spread = placer().plan(seats, &ask(count), aim);
    spread.assignments.iter().map(|p| (p.agent, p.tasks)).collect()
}

fn objective() -> Objective {
    let estimate = Duration::from_millis(100);
    Objective::new(&ObjectiveSettings::default(), estimate, 1.6, Duration::from_millis(60))
}

fn ask(count: usize) -> Demand {
    Demand {
        resources: TASK,
        count,
        estimate: Duration::from_millis(100),
        objective: objective(),
        age: Duration::ZERO,
    }
}

fn idle(slowness: f64) -> AgentView {
    let capacity = Resources { cpu: 64_000, memory: 100_000, gpu: 0 };
    let space =
        AgentLoad { ready: true, capacity, free: capacity, slowness, ..AgentLoad::default() };
    AgentView { load: space, distance_factor: 1.0, ..AgentView::default() }
}

fn full(slowness: f64, wait_ms: u64) -> AgentView {
    let mut seat = idle(slowness);
    seat.load.free = Resources::default();
    seat.load.expected_wait = Duration::from_millis(wait_ms);
    seat
}
