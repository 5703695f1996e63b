//! Messages and time that a change of the roster takes, by its size.

use roster::Settings;

use crate::world::{Counts, World};

const SEED: u64 = 3;
const LIMIT_MS: u64 = 60_000;

/// Requests sent until every member knows the settled change.
struct Cost {
    members: usize,
    collects: u64,
    heartbeats: u64,
    writes: u64,
    ms: u64,
}

fn settled(members: usize) -> World {
    let mut world = World::new(SEED, Settings::default());
    world.max_delay_ms = 1;
    (0..members).for_each(|i| world.spawn(i));
    assert!(world.settle(LIMIT_MS), "{:?}", world.row.roster);
    world.run(5000);
    world
}

fn cost(members: usize, change: impl Fn(&mut World), after: &[usize]) -> Cost {
    let mut world = settled(members);
    world.counts = Counts::default();
    let start = world.now_ms;
    change(&mut world);
    assert!(world.settle_to(after, LIMIT_MS));
    let Counts { collects, heartbeats, writes, .. } = world.counts;
    Cost { members, collects, heartbeats, writes, ms: world.now_ms - start }
}

macro_rules! costs {
    ($($name:ident: $members:literal)*) => {
        $(#[test]
        fn $name() {
            let n = $members;
            let all: Vec<_> = (0..=n).collect();
            let changes = [
                ("loss", cost(n, |w| w.kill(0), &all[1..n])),
                ("leave", cost(n, |w| w.leave(0), &all[1..n])),
                ("join", cost(n, |w| w.spawn(n), &all[..=n])),
            ];
            for (name, cost) in changes {
                let Cost { members, collects, heartbeats, writes, ms } = cost;
                println!("{members} {name}: {collects} collects, {heartbeats} heartbeats, {writes} writes, {ms} ms");
                // each member collects from every other, and again after the loss of a member
                assert!(collects <= 2 * (n * n) as u64 && writes <= 2 * n as u64);
            }
        })*
    };
}

costs! {
    change_of_three: 3
    change_of_eleven: 11
    change_of_thirty_three: 33
}
