//! A fixed schedule for each rule of the roster. It starts a task twice if its
//! rule is switched off, and at most once under all rules.

use std::time::Duration;

use roster::{Rule, Settings};

use crate::world::{HeldMessages, World, settings};

const SEED: u64 = 7;
const LIMIT_MS: u64 = 20_000;
const ALL: [usize; 9] = [0, 1, 2, 3, 4, 5, 6, 7, 8];

macro_rules! rule_cases {
    ($($name:ident: $rule:ident, $start:expr, |$world:ident| $body:block)*) => {
        $(#[test]
        fn $name() {
            let run = |without: Option<Rule>| {
                let mut $world: World = $start(without);
                $body
                let double_starts = $world.double_starts().len();
                println!("without {without:?}: {double_starts} double starts, {:?}", $world.starts);
                double_starts
            };
            assert_eq!(run(None), 0, "under all rules");
            assert!(run(Some(Rule::$rule)) > 0, "the schedule must fail without the rule");
        })*
    };
}

/// A settled roster of `count` members, older than the retention.
fn members(count: usize, settings: Settings) -> World {
    let mut world = World::new(SEED, settings);
    (0..count).for_each(|i| world.spawn(i));
    assert!(world.settle(LIMIT_MS), "{:#?}", world.row.roster);
    let retention = world.settings.retention.as_millis() as u64;
    world.run(retention + 1000);
    world
}

fn four(without: Option<Rule>) -> World {
    members(4, Settings { disabled: without, ..settings() })
}

fn five(without: Option<Rule>) -> World {
    members(5, Settings { disabled: without, ..settings() })
}

/// Losses are detected long before the permits of the lost members expire.
fn five_with_long_lease(without: Option<Rule>) -> World {
    let lease = Duration::from_secs(4);
    members(5, Settings { disabled: without, lease, ..settings() })
}

fn two(without: Option<Rule>) -> World {
    members(2, Settings { disabled: without, ..settings() })
}

fn sole_member(without: Option<Rule>) -> World {
    members(1, Settings { disabled: without, ..settings() })
}

rule_cases! {
    // 0 and 1 are partitioned off; a key issued after the takeover is sent to both sides
    takeover_waits_for_permits: LeaseWait, five_with_long_lease, |world| {
        world.isolate(&[0, 1]);
        world.settle_to(&[2, 3, 4], 2500);
        let id = world.key(&[(&ALL[..5], 0), (&[2, 3, 4], 2)]);
        world.submit(1, &id);
        world.settle_to(&[2, 3, 4], LIMIT_MS);
        world.submit(3, &id);
    }

    // the key is issued while the takeover waits
    record_loss_has_the_time_of_settling: RecordLossTime, five_with_long_lease, |world| {
        world.isolate(&[0, 1]);
        world.run(2000);
        let id = world.key(&[(&ALL[..5], 0), (&[2, 3, 4], 2)]);
        world.submit(1, &id);
        world.settle_to(&[2, 3, 4], LIMIT_MS);
        world.submit(3, &id);
    }

    new_home_grants_once_settled: GrantOnceSettled, five_with_long_lease, |world| {
        world.isolate(&[0, 1]);
        world.run(2000);
        let id = world.key(&[(&ALL[..5], 0), (&[2, 3, 4], 2)]);
        world.submit(1, &id);
        world.submit(3, &id);
    }

    home_without_permit_grants_nothing: Permit, five, |world| {
        world.isolate(&[0, 1]);
        world.settle_to(&[2, 3, 4], LIMIT_MS);
        let id = world.key(&[(&ALL[..5], 0), (&[2, 3, 4], 2)]);
        world.submit(1, &id);
        world.submit(3, &id);
    }

    // the joining members on the side of 0 are no majority of the old roster
    unsettled_permit_needs_the_old_roster: OldMajority, five, |world| {
        for i in 5..9 {
            world.spawn(i);
        }
        world.cut(&[0, 1, 5, 6, 7, 8], &[2, 3, 4]);
        world.run(700);
        world.row.unreachable_from.extend([0, 1, 5, 6, 7, 8]);
        world.settle_to(&[2, 3, 4], LIMIT_MS);
        let id = world.key(&[(&ALL[..5], 0), (&ALL, 0), (&[2, 3, 4], 2)]);
        world.submit(1, &id);
        world.submit(3, &id);
    }

    // 0 and 1 hand over to the joining members and are partitioned off before they learn that
    // the change has settled
    unsettled_permit_needs_the_new_roster: NewMajority, two, |world| {
        world.row.unreachable_from.extend([0, 1]);
        (2..5).for_each(|i| world.spawn(i));
        let settled = |w: &World| {
            w.row.roster.as_ref().is_some_and(|r| r.settled && r.members.len() == 5)
        };
        while !settled(&world) {
            world.run(10);
        }
        world.isolate(&[0, 1]);
        world.settle_to(&[2, 3, 4], LIMIT_MS);
        let id = world.key(&[(&[0, 1], 0), (&ALL[..5], 0), (&[2, 3, 4], 2)]);
        world.submit(1, &id);
        world.submit(3, &id);
    }

    // the grant of the old home arrives after its takeover
    older_grants_are_discarded: DiscardPending, four, |world| {
        let id = world.key(&[(&ALL[..4], 0), (&[1, 2, 3], 2)]);
        world.held = HeldMessages::Grants;
        world.offer(1, &id);
        world.run(50);
        world.kill(0);
        world.settle_to(&[1, 2, 3], LIMIT_MS);
        world.held = HeldMessages::Nothing;
        world.run(50);
        world.start_queued(1);
        world.submit(3, &id);
    }

    // the executor dies, and later the home
    second_loss_is_a_record_loss: RecordLoss, four, |world| {
        let id = world.key(&[(&ALL[..4], 0), (&[2, 3], 2)]);
        world.submit(1, &id);
        world.kill(1);
        world.settle_to(&[0, 2, 3], LIMIT_MS);
        world.kill(0);
        world.settle_to(&[2, 3], LIMIT_MS);
        world.submit(3, &id);
    }

    record_loss_survives_the_next_change: RecordLossKept, four, |world| {
        let id = world.key(&[(&ALL[..4], 0), (&[2, 3], 2)]);
        world.submit(1, &id);
        world.kill(1);
        world.settle_to(&[0, 2, 3], LIMIT_MS);
        world.kill(0);
        world.settle_to(&[2, 3], LIMIT_MS);
        world.spawn(1);
        world.settle_to(&[1, 2, 3], LIMIT_MS);
        world.submit(3, &id);
        world.submit(1, &id);
    }

    // the home during whose tenure the record loss was entered leaves as planned
    record_loss_applies_to_later_tenures: EarlierRecordLoss, four, |world| {
        let id = world.key(&[(&ALL[..4], 0), (&[2, 3], 2)]);
        world.submit(1, &id);
        world.kill(1);
        world.settle_to(&[0, 2, 3], LIMIT_MS);
        world.kill(0);
        world.settle_to(&[2, 3], LIMIT_MS);
        world.leave(2);
        world.settle_to(&[3], LIMIT_MS);
        world.submit(3, &id);
    }

    // home and executor are the same agent
    sole_member_has_no_second_copy: SoleMember, sole_member, |world| {
        let id = world.key(&[(&[0, 1, 2], 0), (&[0, 1], 0), (&[0, 2], 0)]);
        world.submit(0, &id);
        world.spawn(1);
        world.spawn(2);
        world.settle_to(&[0, 1, 2], LIMIT_MS);
        world.kill(0);
        world.settle_to(&[1, 2], LIMIT_MS);
        world.submit(1, &id);
        world.submit(2, &id);
    }

    planned_leave_removes_a_copy: PlannedLeave, four, |world| {
        let id = world.key(&[(&ALL[..4], 0), (&[2, 3], 2)]);
        world.submit(1, &id);
        world.leave(1);
        world.settle_to(&[0, 2, 3], LIMIT_MS);
        world.kill(1);
        world.kill(0);
        world.settle_to(&[2, 3], LIMIT_MS);
        world.submit(3, &id);
    }

    // the key moves to another home
    claim_is_valid_within_its_tenure: Tenure, four, |world| {
        let id = world.key(&[(&ALL[..4], 0), (&[1, 2, 3], 2)]);
        world.submit(1, &id);
        world.kill(0);
        world.settle_to(&[1, 2, 3], LIMIT_MS);
        world.submit(3, &id);
    }

    // the joining member that requests the claim from 0 is in no settled roster
    claims_go_to_settled_members: SettledExecutors, four, |world| {
        world.spawn(4);
        world.cut(&[4], &[3]);
        let joined = |w: &World| w.nodes[0].member.roster().members.len() == 5;
        while !joined(&world) {
            world.run(10);
        }
        let id = world.key(&[(&ALL[..4], 0), (&ALL[..5], 0), (&[1, 2, 3], 2)]);
        world.submit(4, &id);
        world.kill(4);
        world.kill(0);
        world.settle_to(&[1, 2, 3], LIMIT_MS);
        world.submit(3, &id);
    }

    // 4 reads the roster but never becomes a member
    non_members_get_no_claims: NonMembers, four, |world| {
        world.row.read_only = true;
        world.spawn(4);
        world.run(500);
        let id = world.key(&[(&ALL[..4], 0), (&[1, 2, 3], 2)]);
        world.submit(4, &id);
        world.kill(4);
        world.kill(0);
        world.row.read_only = false;
        world.settle_to(&[1, 2, 3], LIMIT_MS);
        world.submit(3, &id);
    }

    // the executor becomes the home
    new_home_adopts_its_own_records: OwnRecords, four, |world| {
        let id = world.key(&[(&ALL[..4], 0), (&[1, 2, 3], 1)]);
        world.submit(1, &id);
        world.kill(0);
        world.settle_to(&[1, 2, 3], LIMIT_MS);
        world.submit(3, &id);
    }

    // the records of the executor are delayed
    every_remaining_member_hands_over: CollectAll, four, |world| {
        let id = world.key(&[(&ALL[..4], 0), (&[1, 2, 3], 2)]);
        world.submit(1, &id);
        world.held = HeldMessages::Records;
        world.kill(0);
        world.settle_to(&[1, 2, 3], 6000);
        world.submit(3, &id);
    }
}
