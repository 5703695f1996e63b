//! Service during losses, and recovery of a roster.

use roster::{Error, Roster};

use crate::world::{World, settings};

const SEED: u64 = 11;
const LIMIT_MS: u64 = 20_000;

fn members(count: usize) -> World {
    let mut world = World::new(SEED, settings());
    (0..count).for_each(|i| world.spawn(i));
    assert!(world.settle(LIMIT_MS), "{:#?}", world.row.roster);
    world.run(1000);
    world
}

fn starts(world: &World, id: &base::TaskId) -> usize {
    world.starts.get(id).map_or(0, Vec::len)
}

macro_rules! recovers {
    ($($name:ident($world:ident, $members:literal) $body:block)*) => {
        $(#[test]
        fn $name() {
            let mut $world = members($members);
            $body
            assert_eq!($world.double_starts(), []);
        })*
    };
}

recovers! {
    majority_lost_needs_an_operator(world, 3) {
        let old = world.key(&[(&[0, 1, 2], 1)]);
        world.submit(2, &old);
        world.kill(1);
        world.kill(2);
        assert!(!world.settle_to(&[0], LIMIT_MS));
        let node = &world.nodes[0];
        assert!(node.member.is_blocked(node.now(world.now_ms).at));
        let fresh = world.key(&[(&[0, 1, 2], 0)]);
        world.submit(0, &fresh);
        assert_eq!(starts(&world, &fresh), 0, "no permit without a majority");

        let row = world.row.roster.clone().expect("there is a roster");
        let names = ["agent-1".into(), "agent-2".into()];
        let confirmed = row.confirm_loss(&names, "ana", "rack 4 burnt", world.now_ms).expect("is sound");
        world.row.version += 1;
        world.row.roster = Some(confirmed);
        assert!(world.settle_to(&[0], LIMIT_MS));
        world.submit(0, &old);
        assert_eq!(starts(&world, &old), 1, "both copies are lost: unknown");
        let fresh = world.new_key();
        world.submit(0, &fresh);
        assert_eq!(starts(&world, &fresh), 1);
    }

    restarted_members_unblock_the_roster(world, 3) {
        world.kill(1);
        world.kill(2);
        world.run(5000);
        world.spawn(1);
        world.spawn(2);
        assert!(world.settle_to(&[0, 1, 2], LIMIT_MS));
    }

    roster_recovers_from_a_restart_of_all_members(world, 5) {
        let old = world.key(&[(&[0, 1, 2, 3, 4], 1)]);
        world.submit(2, &old);
        (0..5).for_each(|i| world.kill(i));
        (0..5).for_each(|i| world.spawn(i));
        assert!(world.settle_to(&[0, 1, 2, 3, 4], LIMIT_MS));
        world.submit(2, &old);
        assert_eq!(starts(&world, &old), 1);
        let fresh = world.key(&[(&[0, 1, 2, 3, 4], 1)]);
        world.submit(3, &fresh);
        assert_eq!(starts(&world, &fresh), 1);
    }

    other_homes_keep_granting_while_the_table_is_down(world, 4) {
        world.row.down = true;
        world.kill(0);
        world.run(10_000);
        for i in 1..4 {
            let id = world.key(&[(&[0, 1, 2, 3], i)]);
            world.submit(1 + i % 3, &id);
            assert_eq!(starts(&world, &id), 1, "home {i}");
        }
        world.row.down = false;
        assert!(world.settle_to(&[1, 2, 3], LIMIT_MS));
    }

    unmoved_keys_are_granted_during_a_takeover(world, 4) {
        world.kill(0);
        let unsettled = |w: &World| w.row.roster.as_ref().is_some_and(|r| !r.settled);
        while !unsettled(&world) {
            world.run(10);
        }
        world.run(100);
        for node in &world.nodes[1..] {
            assert!(!node.member.is_blocked(node.now(world.now_ms).at), "three of four are available");
        }
        let id = world.key(&[(&[0, 1, 2, 3], 1)]);
        world.submit(2, &id);
        assert!(unsettled(&world));
        assert_eq!(starts(&world, &id), 1);
    }

    planned_leave_has_no_lease_wait(world, 4) {
        let id = world.key(&[(&[0, 1, 2, 3], 0), (&[1, 2, 3], 2)]);
        world.submit(1, &id);
        world.leave(0);
        assert!(world.settle_to(&[1, 2, 3], 500));
        assert!(world.nodes[0].member.has_left());
        world.submit(3, &id);
        let fresh = world.key(&[(&[0, 1, 2, 3], 0), (&[1, 2, 3], 2)]);
        world.submit(3, &fresh);
        assert_eq!(starts(&world, &fresh), 1);
    }
}

#[test]
fn confirmed_loss_needs_a_reason_and_member_names() {
    let world = members(1);
    let row: Roster = world.row.roster.expect("there is a roster");
    let known = ["agent-0".into()];
    assert_eq!(row.confirm_loss(&known, "ana", "  ", 1), Err(Error::NoReason));
    let non_member = row.confirm_loss(&["agent-9".into()], "ana", "gone", 1);
    assert_eq!(non_member, Err(Error::NotListed("agent-9".into())));
}
