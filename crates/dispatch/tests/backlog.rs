//! Turns of the jobs in the backlog, without a runtime: a turn is there at once or not.

use std::{rc::Rc, time::Duration};

use dispatch::{Backlog, Ticket};
use futures::FutureExt;
use lease::{Class, Resources};
use placement::{Shape, Stage, Waiter};

/// A job at the head that fits nowhere kept capacity from those behind it.
#[test]
fn a_job_that_tried_in_vain_passes_its_turn_on() {
    let backlog = Rc::<Backlog>::default();
    let [first, second] = [0, 1].map(|class| join(&backlog, class, 3));
    backlog.wake();
    assert!(!has_turn(&second));
    assert!(has_turn(&first));
    assert!(!has_turn(&first), "it waits again");
    assert!(has_turn(&second));
}

/// A caller that leaves during the turn of its job would end the round.
#[test]
fn a_dropped_job_passes_its_turn_on() {
    let backlog = Rc::<Backlog>::default();
    let [first, second] = [0, 1].map(|class| join(&backlog, class, 3));
    backlog.wake();
    drop(first);
    assert!(has_turn(&second));
}

/// A turn that comes while a job does something else must not be lost: without it the
/// round never ends and no job tries any more.
#[test]
fn a_turn_is_kept_until_the_job_waits() {
    let backlog = Rc::<Backlog>::default();
    let only = join(&backlog, 0, 3);
    for _ in 0..3 {
        backlog.wake();
        assert!(has_turn(&only));
    }
}

/// Decisions of a service with one class stay as they were.
#[test]
fn with_one_class_only_the_first_job_has_a_turn() {
    let backlog = Rc::<Backlog>::default();
    let [first, second] = [0, 0].map(|class| join(&backlog, class, 1));
    backlog.wake();
    assert!(has_turn(&first));
    assert!(!has_turn(&first) && !has_turn(&second));
    drop(first);
    assert!(has_turn(&second));
}

fn has_turn(ticket: &Ticket) -> bool {
    ticket.wait_turn().now_or_never().is_some()
}

fn join(backlog: &Rc<Backlog>, class: usize, classes: usize) -> Ticket {
    let shape = Shape {
        service: "s".into(),
        class: Class::from_rank(class),
        label: "".into(),
        rack: "".into(),
        resources: Resources { cpu: 1750, memory: 64, gpu: 0 },
    };
    let (stage, now) = (Stage::Timely, Duration::from_secs(1));
    backlog.join(Waiter { stage, shape, classes, arrived_at: now, since: now })
}
