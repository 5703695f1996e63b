//! A new home never takes the end of the pages for the end of the records.

use std::collections::BTreeSet;

use agent::Pages;
use base::{Digest, Member, TaskId};
use claim::{Claim, ClaimState, Record};

const RECORDS: u32 = 5000;

fn records() -> Vec<Record> {
    (0..RECORDS).map(record).collect()
}

fn record(index: u32) -> Record {
    let claim = Claim {
        id: TaskId::new("coop".into(), "k".into(), index),
        digest: Digest(1),
        issued_ms: None,
        received_ms: 0,
        task_count: RECORDS,
        sequence: 1,
    };
    Record { claim, state: ClaimState::Barred(1) }
}

fn home(incarnation: u64) -> Member {
    Member {
        name: "home".into(),
        incarnation,
        address: ([127, 0, 0, 1], 1).into(),
        centre: "".into(),
        rack: "".into(),
    }
}

fn indexes(records: Vec<Record>) -> Vec<u32> {
    records.into_iter().map(|r| r.claim.id.index).collect()
}

#[test]
fn pages_lost_by_one_collection_are_not_missing_from_another() {
    let mut pages = Pages::default();
    pages.put(&home(1), 7, records());
    let (first, mut more) = pages.page(&home(1), 7, 0).expect("is stored");
    let mut seen: BTreeSet<_> = indexes(first).into_iter().collect();
    // another collection begins while this one goes on, and its replies are lost
    pages.put(&home(1), 7, records().into_iter().rev().collect());
    pages.page(&home(1), 7, 0);
    pages.page(&home(1), 7, 1);
    for number in 1.. {
        if !more {
            break;
        }
        let (page, rest) = pages.page(&home(1), 7, number).expect("is stored");
        seen.extend(indexes(page));
        more = rest;
    }
    assert_eq!(seen.len() as u32, RECORDS);
}

#[test]
fn nothing_stored_is_not_taken_for_no_records() {
    let mut pages = Pages::default();
    assert!(pages.page(&home(1), 7, 0).is_none());
    pages.put(&home(1), 7, records());
    assert!(pages.page(&home(1), 8, 1).is_none(), "of another epoch");
    assert!(pages.page(&home(2), 7, 1).is_none(), "of a restarted home");
    pages.clear();
    assert!(pages.page(&home(1), 7, 1).is_none());
}
