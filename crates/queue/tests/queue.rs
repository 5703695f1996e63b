//! Properties of both disciplines on random schedules, and cases for `ClassQueue`.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use queue::{Class, ClassQueue, Discipline, Fifo, PopResult, RunKey, Settings, TaskInfo, Ticket};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
enum Step {
    Push { long: bool, left_ms: u64 },
    Pop,
    Remove(usize),
    End(usize),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 6 {
            0 | 1 => Step::Push { long: bool::arbitrary(g), left_ms: u64::arbitrary(g) % 5_000 },
            2 => Step::Pop,
            3 => Step::Remove(usize::arbitrary(g)),
            4 => Step::End(usize::arbitrary(g)),
            _ => Step::Wait(u64::arbitrary(g) % 300),
        }
    }
}

fn settings() -> Settings {
    Settings { slots: 3, max_queued: 20, ..Settings::default() }
}

fn task(operation: &str, left_ms: u64, now: Instant) -> TaskInfo {
    TaskInfo { operation: operation.into(), deadline: now + Duration::from_millis(left_ms) }
}

/// Checks that every queued task comes out once, that none starts after its
/// deadline, and that no more run than there are slots.
fn check(mut queue: Box<dyn Discipline<usize>>, steps: Vec<Step>) {
    let mut now = Instant::now();
    let mut waiting: HashMap<usize, (Ticket, Instant)> = HashMap::new();
    let mut running: Vec<(RunKey, Instant)> = Vec::new();
    for (id, step) in steps.into_iter().enumerate() {
        match step {
            Step::Push { long, left_ms } => {
                let task = task(if long { "long" } else { "short" }, left_ms, now);
                let deadline = task.deadline;
                match queue.push(task, id, now) {
                    Ok(ticket) => drop(waiting.insert(id, (ticket, deadline))),
                    Err(refused) => assert_eq!(refused.item, id),
                }
            }
            Step::Pop => match queue.pop(now) {
                PopResult::Start(start) => {
                    let (_, deadline) = waiting.remove(&start.item).expect("was queued");
                    assert!(deadline > now, "started after its deadline");
                    running.push((start.run, now));
                }
                PopResult::Late(id) => drop(waiting.remove(&id).expect("was queued")),
                PopResult::Idle => {}
            },
            Step::Remove(n) if !waiting.is_empty() => {
                let id = *waiting.keys().nth(n % waiting.len()).expect("is there");
                let (ticket, _) = waiting.remove(&id).expect("is there");
                assert_eq!(queue.remove(ticket), Some(id));
                assert_eq!(queue.remove(ticket), None);
            }
            Step::End(n) if !running.is_empty() => {
                let (run, since) = running.swap_remove(n % running.len());
                queue.end(run, Some(now - since));
            }
            Step::Wait(ms) => now += Duration::from_millis(ms),
            _ => {}
        }
        assert!(running.len() <= 3, "more tasks run than there are slots");
        assert_eq!((queue.queued(), queue.running()), (waiting.len(), running.len()));
    }
    let mut left = queue.clear();
    left.sort_unstable();
    let mut expected: Vec<usize> = waiting.into_keys().collect();
    expected.sort_unstable();
    assert_eq!(left, expected);
}

macro_rules! schedules {
    ($($name:ident: $queue:expr)*) => {
        $(#[test]
        fn $name() {
            fn run(steps: Vec<Step>) {
                check(Box::new($queue), steps);
            }
            QuickCheck::new().rng(Gen::from_size_and_seed(200, 7)).tests(2_000).quickcheck(run as fn(Vec<Step>));
        })*
    };
}

schedules! {
    fifo_holds_its_invariants: Fifo::new(settings())
    class_queue_holds_its_invariants: ClassQueue::new(settings())
}

/// A queue of 8 slots that has observed short work of 50 ms and long work of 1 s.
fn trained(now: Instant) -> ClassQueue<&'static str> {
    let mut queue = ClassQueue::new(Settings::default());
    for i in 0..100 {
        let (operation, ran) = if i % 10 == 0 { ("long", 1000) } else { ("short", 50) };
        queue.push(task(operation, 60_000, now), operation, now).expect("there is room");
        let PopResult::Start(start) = queue.pop(now) else { panic!("a slot is free") };
        queue.end(start.run, Some(Duration::from_millis(ran)));
    }
    queue
}

fn push(queue: &mut ClassQueue<&'static str>, operation: &'static str, now: Instant) {
    queue.push(task(operation, 60_000, now), operation, now).expect("there is room");
}

fn started(queue: &mut ClassQueue<&'static str>, now: Instant) -> Vec<&'static str> {
    let mut items = Vec::new();
    while let PopResult::Start(start) = queue.pop(now) {
        items.push(start.item);
    }
    items
}

#[test]
fn slots_are_reserved_for_short_work() {
    let now = Instant::now();
    let mut queue = trained(now);
    (0..20).for_each(|_| push(&mut queue, "long", now));
    assert_eq!(started(&mut queue, now), ["long"; 5]);
    (0..20).for_each(|_| push(&mut queue, "short", now));
    assert_eq!(started(&mut queue, now), ["short"; 3]);
}

#[test]
fn long_work_is_not_starved_by_short() {
    let mut now = Instant::now();
    let mut queue = trained(now);
    push(&mut queue, "long", now);
    (0..8).for_each(|_| push(&mut queue, "short", now));
    let mut ran = Vec::new();
    for _ in 0..200 {
        while let PopResult::Start(start) = queue.pop(now) {
            ran.push(start.item);
            queue.end(start.run, Some(Duration::from_millis(50)));
            if queue.queued() < 9 {
                break;
            }
        }
        now += Duration::from_millis(50);
        push(&mut queue, "short", now);
    }
    assert!(ran.contains(&"long"), "long work never ran");
}

#[test]
fn a_task_that_overruns_counts_as_long() {
    let now = Instant::now();
    let mut queue = trained(now);
    (0..5).for_each(|_| push(&mut queue, "short", now));
    assert_eq!(started(&mut queue, now).len(), 5);
    push(&mut queue, "long", now);
    let later = now + Duration::from_secs(2);
    assert_eq!(started(&mut queue, later), Vec::<&str>::new(), "five slots hold long work");
    push(&mut queue, "short", later);
    assert_eq!(started(&mut queue, later), ["short"]);
}

#[test]
fn task_that_cannot_end_in_time_is_refused() {
    let now = Instant::now();
    let mut queue = trained(now);
    assert!(queue.push(task("long", 500, now), "long", now).is_err());
    (0..80).for_each(|_| push(&mut queue, "short", now));
    started(&mut queue, now);
    let refused = queue.push(task("short", 200, now), "short", now).expect_err("ten rounds wait");
    assert!(refused.retry_after >= Duration::from_millis(200));
    assert!(queue.class_load(Class::Short, now).wait > Duration::from_millis(300));
}

#[test]
fn late_task_is_returned_and_not_started() {
    let now = Instant::now();
    let mut queue = trained(now);
    queue.push(task("short", 100, now), "short", now).expect("there is room");
    assert!(queue.next_expiry().is_some_and(|at| at < now + Duration::from_millis(60)));
    let later = now + Duration::from_millis(70);
    assert!(matches!(queue.pop(later), PopResult::Late("short")));
}

#[test]
fn unobserved_long_run_raises_the_expected_wait() {
    let mut queue = ClassQueue::new(settings());
    let start = Instant::now();
    for id in 0..3 {
        queue.push(task("new", 60_000, start), id, start).expect("there is room");
        assert!(matches!(queue.pop(start), PopResult::Start(_)));
    }
    let later = start + Duration::from_secs(2);
    assert!(queue.class_load(Class::Short, later).wait >= Duration::from_secs(1));
}
