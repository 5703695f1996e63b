//! Random schedules: messages are delayed, reordered, duplicated and lost,
//! members freeze, die and restart, the table is down or loses replies.
//! `EGRET_RUNS=n` sets the number of schedules and `EGRET_FROM=n` the seed of
//! the run. A failure prints the seed of its schedule, and `EGRET_SEED=n`
//! repeats that schedule. `EGRET_MUTANTS=n` prints how many schedules it takes
//! to fail without each rule, `n` at most.

use std::{
    cell::RefCell,
    env,
    panic::{AssertUnwindSafe, catch_unwind},
};

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use rand::Rng;
use roster::{Rule, Settings};

use crate::world::{Counts, World, settings};

const RUNS: u64 = 150;
const SEED: u64 = 20_261_203;
const STEPS: usize = 120;
const MAX_MEMBERS: usize = 5;

thread_local! {
    static TOTAL: RefCell<Counts> = RefCell::default();
}

/// Runs one schedule; an error names a task that started twice.
fn schedule(seed: u64, without: Option<Rule>) -> Result<Counts, String> {
    let mut world = World::new(seed, Settings { disabled: without, ..settings() });
    let members = world.rng.random_range(1..=MAX_MEMBERS);
    for i in 0..members {
        world.spawn(i);
        world.nodes[i].clock_rate = world.rng.random_range(996..=1004);
        world.nodes[i].clock_offset_ms = world.rng.random_range(-20..=20);
    }
    world.run(1500);
    world.loss_rate = *[0.0, 0.02, 0.1].get(world.rng.random_range(0..3)).expect("one of three");
    world.max_delay_ms = *[5, 50, 800].get(world.rng.random_range(0..3)).expect("one of three");
    let mut keys = Vec::new();
    for _ in 0..STEPS {
        step(&mut world, &mut keys);
        if let Some((id, by)) = world.double_starts().first() {
            return Err(format!("seed {seed}: {id} started twice: {by:?}"));
        }
    }
    recover(&mut world, seed, without)?;
    Ok(world.counts)
}

fn step(world: &mut World, keys: &mut Vec<base::TaskId>) {
    let i = world.rng.random_range(0..world.nodes.len());
    match world.rng.random_range(0..100) {
        0..20 => {
            let id = world.new_key();
            if world.rng.random_bool(0.1) {
                world.issued.insert(id.clone(), None);
            }
            keys.push(id.clone());
            world.offer(i, &id);
        }
        20..50 if !keys.is_empty() => {
            let newest = keys.len().saturating_sub(25);
            let k = world.rng.random_range(newest..keys.len());
            world.offer(i, &keys[k]);
        }
        50..65 => (0..world.nodes.len()).for_each(|i| world.start_queued(i)),
        65..69 => {
            let ms = world.rng.random_range(100..4000);
            world.freeze(i, ms);
        }
        69..72 => world.kill(i),
        72..86 if !world.nodes[i].alive => world.spawn(i),
        86..87 => world.row.down = !world.row.down,
        87..89 => world.row.lose_replies = !world.row.lose_replies,
        89..91 => {
            let j = world.rng.random_range(0..world.nodes.len());
            if i != j && !world.partitions.remove(&(i.min(j), i.max(j))) {
                world.partitions.insert((i.min(j), i.max(j)));
            }
        }
        91..92 if world.nodes.len() < MAX_MEMBERS + 1 => {
            let next = world.nodes.len();
            world.spawn(next);
        }
        92..94 if world.nodes[i].is_awake(world.now_ms) => world.leave(i),
        _ => {}
    }
    let ms = world.rng.random_range(10..300);
    world.run(ms);
}

/// Ends all faults and checks that the roster settles.
fn recover(world: &mut World, seed: u64, without: Option<Rule>) -> Result<(), String> {
    world.row.down = false;
    world.row.lose_replies = false;
    world.partitions.clear();
    world.loss_rate = 0.0;
    world.max_delay_ms = 5;
    world.run(5000);
    for i in 0..world.nodes.len() {
        if !world.nodes[i].alive || world.nodes[i].leaving {
            world.spawn(i);
        }
    }
    let settled = world.settle(60_000);
    for i in 0..world.nodes.len() {
        world.start_queued(i);
    }
    if let Some((id, by)) = world.double_starts().first() {
        return Err(format!("seed {seed}: {id} started twice: {by:?}"));
    }
    if without.is_none() && !settled {
        return Err(format!("seed {seed}: the roster does not settle: {:#?}", world.row.roster));
    }
    Ok(())
}

/// Seed of one schedule; it is not shrunk, since a smaller seed is no simpler.
#[derive(Clone, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

fn check(Seed(seed): Seed) -> TestResult {
    match catch_unwind(AssertUnwindSafe(|| schedule(seed, None))) {
        Ok(Ok(counts)) => {
            TOTAL.with_borrow_mut(|t| t.add(&counts));
            TestResult::passed()
        }
        Ok(Err(why)) => TestResult::error(why),
        Err(_) => TestResult::error(format!("seed {seed}: an invariant was broken")),
    }
}

#[test]
fn no_task_starts_twice() {
    if let Some(seed) = number("EGRET_SEED") {
        println!("{:?}", schedule(seed, None));
        assert!(schedule(seed, None).is_ok());
        return;
    }
    let runs = number("EGRET_RUNS").unwrap_or(RUNS);
    let seed = number("EGRET_FROM").unwrap_or(SEED);
    println!("{runs} schedules from seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(usize::MAX, seed))
        .tests(runs)
        .max_tests(runs)
        .min_tests_passed(runs)
        .quickcheck(check as fn(Seed) -> TestResult);
    TOTAL.with_borrow(|total| {
        println!("{total:?}");
        assert!(total.starts > runs && total.settled > runs && total.record_losses > 0);
    });
}

/// Prints how many schedules it takes to fail without each rule.
#[test]
fn rules_left_out_are_missed() {
    let Some(runs) = number("EGRET_MUTANTS") else { return };
    for rule in Rule::ALL {
        let caught = (1..=runs).find(|seed| {
            catch_unwind(AssertUnwindSafe(|| schedule(*seed, Some(rule))))
                .map_or(true, |r| r.is_err())
        });
        println!("{rule:?}: {caught:?}");
    }
}

fn number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
