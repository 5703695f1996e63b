//! Claims, bars and records stay within their limits and are not dropped before
//! their retention ends.

use std::time::Duration;

use base::{Answer, Digest, TaskId};
use claim::{Claim, Grant, Holder, Limits, Now, Records, Release, Table, TaskCheck, Tenure};

const HOME: Tenure = Tenure::Home { epoch: 1, since: 1, unknown_before: None, barred_before: None };

macro_rules! cases {
    ($($name:ident($limits:ident = $value:expr) $body:block)*) => {
        $(#[test]
        fn $name() {
            let $limits = $value;
            $body
        })*
    };
}

fn limits(entries: usize, bytes: usize) -> Limits {
    Limits { max_entries: entries, max_bytes: bytes, ..Limits::default() }
}

fn at(seconds: u64) -> Now {
    Now { uptime: Duration::from_secs(seconds), wall_ms: 1_000_000_000 + seconds * 1000 }
}

fn claim(number: u32, now: Now) -> Claim {
    let id = TaskId::new("coop".into(), format!("k{number}").into(), 0);
    Claim {
        id,
        digest: Digest(1),
        issued_ms: None,
        received_ms: now.wall_ms,
        task_count: 1,
        sequence: 1,
    }
}

fn executor(name: &str) -> Holder {
    Holder { name: name.into(), incarnation: 1 }
}

/// Number of claims granted until the table is full.
fn fill(table: &mut Table) -> u32 {
    let granted =
        |n: &u32| table.claim(HOME, &executor("a"), claim(*n, at(0)), at(0)) == Grant::Granted;
    (0..10_000).take_while(granted).count() as u32
}

cases! {
    claims_leave_a_reserve_for_bars(limits = limits(100, 1 << 20)) {
        let mut table = Table::new(limits);
        assert_eq!(fill(&mut table), 90);
        let refused = table.claim(HOME, &executor("a"), claim(500, at(0)), at(0));
        assert_eq!(refused, Grant::Full);
        let bars = (200..300).filter(|n| table.bar(HOME, claim(*n, at(0)), at(0)).grant == Grant::Barred);
        assert_eq!(bars.count(), 10);
        // a held claim is still reported
        let held = table.claim(HOME, &executor("b"), claim(0, at(0)), at(0));
        assert_eq!(held, Grant::Held(executor("a")));
    }

    claims_stop_at_the_byte_cap(limits = limits(10_000, 4096)) {
        let mut table = Table::new(limits);
        let granted = fill(&mut table);
        assert!(granted > 0 && granted < 100, "{granted}");
        assert!(table.bytes() <= 4096);
    }

    claim_is_kept_for_the_retention_and_no_longer(limits = Limits::default()) {
        let mut table = Table::new(limits);
        let keep = limits.retention.as_secs();
        assert_eq!(table.claim(HOME, &executor("a"), claim(1, at(0)), at(0)), Grant::Granted);
        table.expire(at(keep - 1));
        let late = claim(1, at(keep - 1));
        assert_eq!(table.claim(HOME, &executor("b"), late, at(keep - 1)), Grant::Held(executor("a")));
        table.expire(at(keep));
        assert_eq!((table.len(), table.bytes()), (0, 0));
    }

    bar_is_kept_longer_than_any_call_lasts(limits = Limits::default()) {
        let mut table = Table::new(limits);
        assert_eq!(table.bar(HOME, claim(1, at(0)), at(0)).grant, Grant::Barred);
        let old = claim(1, at(0));
        for seconds in [1, 600, 800] {
            table.expire(at(seconds));
            let grant = table.claim(HOME, &executor("a"), old.clone(), at(seconds));
            assert_eq!(grant, Grant::Barred, "after {seconds} s");
        }
        // the row has expired with the bar, and so it may have been a claim
        for seconds in [1000, 5000] {
            table.expire(at(seconds));
            let grant = table.claim(HOME, &executor("a"), old.clone(), at(seconds));
            assert!(matches!(grant, Grant::Unknown(_)), "{grant:?} after {seconds} s");
        }
        assert_eq!(table.claim(HOME, &executor("a"), claim(1, at(5000)), at(5000)), Grant::Granted);
    }

    claim_of_an_ended_tenure_is_dropped(limits = Limits::default()) {
        let mut table = Table::new(limits);
        assert_eq!(table.claim(HOME, &executor("a"), claim(1, at(0)), at(0)), Grant::Granted);
        table.drop_moved(|_| Some(2));
        assert_eq!(table.bytes(), 0);
        let later = Tenure::Home { epoch: 3, since: 3, unknown_before: None, barred_before: None };
        assert_eq!(table.claim(later, &executor("b"), claim(1, at(0)), at(0)), Grant::Granted);
    }

    records_fill_up_with_answers_and_keep_them(limits = limits(100, 4096)) {
        let mut records = Records::new(executor("a"), limits);
        let answer = Answer::done(vec![b'x'; 1000].into(), Duration::ZERO, "a".into());
        let mut kept = 0;
        while !records.is_full() {
            let requested = records.begin_claim(claim(kept, at(0)));
            assert!(records.on_granted(&requested));
            records.start(&requested.id);
            records.end(&requested.id, answer.clone(), at(0));
            kept += 1;
        }
        assert!(kept < 5, "{kept} answers in 4096 bytes");
        records.expire(at(limits.retention.as_secs() - 1));
        let first = claim(0, at(0));
        assert_eq!(records.check(&first.id, first.digest), TaskCheck::Over(&answer));
        records.expire(at(limits.retention.as_secs()));
        assert_eq!((records.len(), records.bytes(), records.is_full()), (0, 0, false));
    }

    release_needs_the_home(limits = Limits::default()) {
        let mut table = Table::new(limits);
        let away = Tenure::NotHome { epoch: 4 };
        let it = claim(1, at(0));
        assert!(!table.release(away, &executor("a"), &it, Release::Bar, at(0)));
        assert!(table.release(HOME, &executor("a"), &it, Release::Bar, at(0)));
        assert_eq!(table.look_up(HOME, &it, at(0)).grant, Grant::Barred);
    }
}
