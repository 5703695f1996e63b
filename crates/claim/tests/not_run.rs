//! "Has not run" is concluded from what a home knows, not from a row or a record
//! that may have expired.

use std::time::Duration;

use base::{Digest, TaskId};
use claim::{Claim, ClaimState, Grant, Holder, Limits, Now, Record, Release, Table, Tenure};

const HOME: Tenure = Tenure::Home { epoch: 1, since: 1, unknown_before: None, barred_before: None };
/// The last second at which an entry accepts a key issued at 0.
const LAST_ACCEPTED: u64 = 898;

macro_rules! cases {
    ($($name:ident($table:ident) $body:block)*) => {
        $(#[test]
        fn $name() {
            let mut $table = Table::new(Limits::default());
            $body
        })*
    };
}

fn at(seconds: u64) -> Now {
    Now { uptime: Duration::from_secs(seconds), wall_ms: wall_ms(seconds) }
}

fn wall_ms(seconds: u64) -> u64 {
    1_000_000_000 + seconds * 1000
}

/// Claim for a key issued at 0, of a call received at this second.
fn claim(received: u64, sequence: u64) -> Claim {
    Claim {
        id: TaskId::new("coop".into(), "k".into(), 0),
        digest: Digest(1),
        issued_ms: Some(wall_ms(0)),
        received_ms: wall_ms(received),
        task_count: 1,
        sequence,
    }
}

fn without_issue_time(claim: Claim) -> Claim {
    Claim { issued_ms: None, ..claim }
}

fn executor(name: &str) -> Holder {
    Holder { name: name.into(), incarnation: 1 }
}

fn is_unknown(grant: &Grant) -> bool {
    matches!(grant, Grant::Unknown(_))
}

cases! {
    an_expired_claim_does_not_let_a_late_call_start_the_task_again(table) {
        assert_eq!(table.claim(HOME, &executor("a"), claim(0, 1), at(0)), Grant::Granted);
        table.expire(at(905));
        let grant = table.claim(HOME, &executor("b"), claim(LAST_ACCEPTED, 1), at(905));
        assert!(is_unknown(&grant), "{grant:?}");
    }

    an_expired_claim_does_not_make_a_lookup_or_a_bar_answer_not_run(table) {
        assert_eq!(table.claim(HOME, &executor("a"), claim(0, 1), at(0)), Grant::Granted);
        table.expire(at(905));
        let late = claim(LAST_ACCEPTED, 0);
        let found = table.look_up(HOME, &late, at(905));
        assert!(is_unknown(&found.grant), "{found:?}");
        let found = table.bar(HOME, late, at(905));
        assert!(is_unknown(&found.grant), "{found:?}");
    }

    an_expired_record_of_the_holder_is_not_taken_for_a_given_up_claim(table) {
        let state = ClaimState::Held(executor("a"));
        table.adopt(Record { claim: claim(0, 1), state }, 1, at(800));
        let late = without_issue_time(claim(LAST_ACCEPTED, 2));
        let grant = table.claim(HOME, &executor("a"), late, at(905));
        assert!(is_unknown(&grant), "{grant:?}");
    }

    a_claim_that_was_given_up_can_be_granted_again_to_its_holder(table) {
        assert_eq!(table.claim(HOME, &executor("a"), claim(0, 1), at(0)), Grant::Granted);
        let again = table.claim(HOME, &executor("a"), claim(800, 2), at(800));
        assert_eq!(again, Grant::Granted);
    }

    a_late_claim_of_a_task_that_another_call_started_is_not_answered_barred(table) {
        assert_eq!(table.claim(HOME, &executor("a"), claim(0, 1), at(0)), Grant::Granted);
        let grant = table.claim(HOME, &executor("b"), claim(1, 1), at(700));
        assert_eq!(grant, Grant::Held(executor("a")));
    }

    a_late_claim_of_an_unknown_key_is_not_answered_barred(table) {
        let first = without_issue_time(claim(0, 1));
        assert_eq!(table.claim(HOME, &executor("a"), first, at(0)), Grant::Granted);
        table.expire(at(905));
        let grant = table.claim(HOME, &executor("b"), without_issue_time(claim(1, 1)), at(905));
        assert!(is_unknown(&grant), "{grant:?}");
    }

    a_release_of_an_expired_claim_leaves_no_bar_behind(table) {
        let old = claim(0, 1);
        assert!(table.release(HOME, &executor("a"), &old, Release::Bar, at(905)));
        assert!(table.is_empty());
    }

    a_late_release_of_a_key_without_issue_time_leaves_no_bar_behind(table) {
        let old = without_issue_time(claim(0, 1));
        assert!(table.release(HOME, &executor("a"), &old, Release::Bar, at(905)));
        assert!(table.is_empty());
    }
}
