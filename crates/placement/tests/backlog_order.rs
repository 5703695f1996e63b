//! Order of the jobs that wait at an entry, and which of them may try.

use std::time::Duration;

use base::Uptime;
use lease::{Class, Resources};
use placement::{BacklogOrder, Position, Shape, Stage, Waiter};

/// Bound on the tries after one wake-up, as documented.
const MOST_TRIES: usize = 8;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $case:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { let case: fn() = $case; case(); })*
    };
}

cases! {
    /// In an overload the least urgent jobs went first because they had waited longest.
    started_jobs_go_first_then_timely_and_late_ones_by_class: || {
        let mut order = BacklogOrder::default();
        let jobs = [
            waiter(Stage::Late, 0, 1),
            waiter(Stage::Timely, 2, 2),
            waiter(Stage::Late, 1, 3),
            waiter(Stage::Timely, 0, 4),
            waiter(Stage::Started, 2, 5),
            waiter(Stage::Timely, 0, 6),
        ];
        let positions = jobs.map(|w| order.join(w));
        assert_eq!(leave_all(&mut order), [4, 3, 5, 1, 0, 2].map(|i| positions[i]));
    };
    /// A job that becomes late later must not lose its turn to one that arrived after it.
    jobs_of_a_class_keep_the_order_of_arrival: || {
        let mut order = BacklogOrder::default();
        let younger = order.join(waiter(Stage::Late, 1, 8));
        let older = order.join(waiter(Stage::Late, 1, 3));
        assert_eq!(leave_all(&mut order), [older, younger]);
    };
    /// Head-of-line blocking: a wide job at the head kept capacity unused.
    a_job_that_fits_nowhere_does_not_hold_up_those_behind_it: || {
        let mut order = BacklogOrder::default();
        let started = order.join(waiter(Stage::Started, 2, 1));
        let urgent = order.join(waiter(Stage::Timely, 0, 2));
        let late = order.join(waiter(Stage::Late, 1, 3));
        assert_eq!(tries(&mut order), [started, urgent, late]);
    };
    /// A job of the same shape fits no better, and would overtake the one before it.
    no_job_is_overtaken_by_a_later_one_of_its_shape: || {
        let mut order = BacklogOrder::default();
        let first = order.join(waiter(Stage::Timely, 0, 1));
        order.join(waiter(Stage::Timely, 0, 2));
        let other = order.join(waiter(Stage::Timely, 1, 3));
        assert_eq!(tries(&mut order), [first, other]);
    };
    /// Capacity for several jobs must not wait for the next report.
    after_a_placed_job_the_next_one_of_its_shape_tries: || {
        let mut order = BacklogOrder::default();
        let [first, second] = [1, 2].map(|at| order.join(waiter(Stage::Timely, 0, at)));
        let less_urgent = order.join(waiter(Stage::Timely, 1, 3));
        assert_eq!(order.wake(), Some(first));
        assert_eq!(order.leave(first), Some(second));
        assert_eq!(order.pass(second), Some(less_urgent));
        assert_eq!(order.pass(less_urgent), None);
    };
    /// A backlog of many shapes must not take the entry's processor at each report.
    tries_of_a_wake_up_are_bounded: || {
        let mut order = BacklogOrder::default();
        for rack in 0..40 {
            order.join(with_rack(waiter(Stage::Timely, 0, 1), &format!("r{rack}")));
        }
        assert_eq!(tries(&mut order).len(), MOST_TRIES);
    };
    /// Reports that come during a round would start the tries again from the head, so
    /// that jobs behind it never get a turn.
    a_wake_up_during_a_round_starts_one_more_round_after_it: || {
        let mut order = BacklogOrder::default();
        let [first, second] = [0, 1].map(|class| order.join(waiter(Stage::Timely, class, 1)));
        assert_eq!(order.wake(), Some(first));
        assert_eq!(order.wake(), None);
        assert_eq!(order.wake(), None);
        assert_eq!(order.pass(first), Some(second));
        assert_eq!(order.pass(second), Some(first), "capacity may be free since");
        assert_eq!(order.pass(first), Some(second));
        assert_eq!(order.pass(second), None);
    };
    /// A job that its caller gives up during its turn must not end the round.
    a_job_that_leaves_in_its_turn_passes_it_on: || {
        let mut order = BacklogOrder::default();
        let [first, second] = [0, 1].map(|class| order.join(waiter(Stage::Timely, class, 1)));
        assert_eq!(order.wake(), Some(first));
        assert_eq!(order.leave(first), Some(second));
        assert_eq!(order.pass(first), None, "it has left");
    };
    /// Trace of a shortage: short jobs were refused because long ones, which may wait for
    /// seconds, had waited longer than the short ones can.
    the_wait_of_less_urgent_jobs_does_not_count: || {
        let mut order = BacklogOrder::default();
        order.join(waiter(Stage::Timely, 2, 0));
        assert_eq!(order.wait_ahead(&shape(0), 3, seconds(4)), Duration::ZERO);
        order.join(waiter(Stage::Timely, 0, 3));
        assert_eq!(order.wait_ahead(&shape(0), 3, seconds(4)), Duration::from_secs(1));
        assert_eq!(order.wait_ahead(&shape(2), 3, seconds(4)), Duration::from_secs(4));
    };
    /// A late job goes behind timely ones and may wait long for spare capacity.
    the_wait_of_late_jobs_does_not_count: || {
        let mut order = BacklogOrder::default();
        order.join(waiter(Stage::Late, 0, 0));
        assert_eq!(order.wait_ahead(&shape(0), 3, seconds(4)), Duration::ZERO);
    };
    /// Jobs for other backend servers don't take the capacity of this one.
    the_wait_for_other_agents_does_not_count: || {
        let mut order = BacklogOrder::default();
        let mut waiter = waiter(Stage::Timely, 0, 0);
        waiter.shape.label = "gpu".into();
        order.join(waiter);
        let other = Shape { label: "arm".into(), ..shape(0) };
        assert_eq!(order.wait_ahead(&other, 3, seconds(4)), Duration::ZERO);
        assert_eq!(order.wait_ahead(&shape(0), 3, seconds(4)), Duration::from_secs(4));
    };
    /// Operators see for which class capacity is missing.
    jobs_are_counted_by_class: || {
        let mut order = BacklogOrder::default();
        order.join(waiter(Stage::Timely, 2, 1));
        order.join(waiter(Stage::Late, 2, 3));
        let classes = order.by_class(seconds(4));
        let counts: Vec<usize> = classes.iter().map(|c| c.jobs).collect();
        assert_eq!(counts, [0, 0, 2, 0]);
        assert_eq!(classes[2].longest_wait, Duration::from_secs(3));
    };
}

/// Decisions of a service with one class stay as they were: the first job by arrival
/// tries alone at each wake-up, and the longest wait of any job counts.
#[test]
fn with_one_class_only_the_first_job_tries() {
    let mut order = BacklogOrder::default();
    let single = |stage, at| Waiter { classes: 1, ..waiter(stage, 0, at) };
    let late = order.join(single(Stage::Late, 1));
    let first = order.join(with_rack(single(Stage::Timely, 2), "r1"));
    let second = order.join(single(Stage::Timely, 3));
    for _ in 0..3 {
        assert_eq!(order.wake(), Some(first));
    }
    assert_eq!(order.pass(first), None);
    assert_eq!(order.wait_ahead(&shape(0), 1, seconds(4)), Duration::from_secs(3));
    assert_eq!(order.leave(second), Some(first), "the first tries when any job leaves");
    assert_eq!(order.leave(first), Some(late));
    // a job that becomes late goes behind those that became late before it
    let earlier =
        order.join(Waiter { arrived_at: seconds(0), since: seconds(4), ..single(Stage::Late, 0) });
    assert_eq!(leave_all(&mut order), [late, earlier]);
}

/// Jobs that try after one wake-up when none of them can be placed.
fn tries(order: &mut BacklogOrder) -> Vec<Position> {
    let first = order.wake();
    std::iter::successors(first, |p| order.pass(*p)).collect()
}

/// All jobs, in the order in which they are first.
fn leave_all(order: &mut BacklogOrder) -> Vec<Position> {
    let mut left = Vec::new();
    let mut next = order.wake();
    while let Some(position) = next {
        left.push(position);
        next = order.leave(position);
    }
    left
}

fn waiter(stage: Stage, class: usize, at: u64) -> Waiter {
    Waiter { stage, shape: shape(class), classes: 3, arrived_at: seconds(at), since: seconds(at) }
}

fn with_rack(waiter: Waiter, rack: &str) -> Waiter {
    Waiter { shape: Shape { rack: rack.into(), ..waiter.shape }, ..waiter }
}

fn shape(class: usize) -> Shape {
    Shape {
        service: "s".into(),
        class: Class::from_rank(class),
        label: "".into(),
        rack: "".into(),
        resources: Resources { cpu: 1750, memory: 64, gpu: 0 },
    }
}

fn seconds(seconds: u64) -> Uptime {
    Duration::from_secs(seconds)
}
