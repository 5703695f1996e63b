//! The fleet configuration: merging of values, and rejection of faults by the
//! path of their field.

use std::sync::Arc;

use conf::{
    Change, CurrentFleet, EntryProcess, EntryRow, Error, FleetConfig, MAX_HISTORY, QueueRank, parse,
};
use serde_json::{Value, json};

macro_rules! rejected {
    ($($name:ident: $document:tt at $($field:literal)+)*) => {
        $(#[test]
        fn $name() {
            check_faults(&json!($document), &[$($field),+]);
        })*
    };
}

fn check_faults(document: &Value, fields: &[&str]) {
    let Err(Error::Document(faults)) = parse(&document.to_string()) else {
        panic!("{document} was accepted");
    };
    let found: Vec<_> = faults.iter().map(|f| f.field.as_str()).collect();
    assert_eq!(found, fields);
}

rejected! {
    unknown_fields: { "servces": {}, "services": { "a": { "team": {} } } }
        at "document.servces" "services.a.team"
    unknown_value: { "defaults": { "deadline": 5, "sloots": 1 } } at "defaults.deadline" "defaults.sloots"
    wrong_unit: { "defaults": { "deadline_s": 5 } } at "defaults.deadline_s"
    text_for_number: { "defaults": { "deadline_ms": "30s" } } at "defaults.deadline_ms"
    out_of_range: { "defaults": { "deadline_ms": 0, "slots": 5000 } } at "defaults.deadline_ms" "defaults.slots"
    bad_names: { "services": { "a b": { "teams": { "": {} } } } } at "services.a b" "services.a b.teams."
    bad_team: { "services": { "a": { "teams": { "t": { "weight": 0, "quota": -1 } } } } }
        at "services.a.teams.t.weight" "services.a.teams.t.quota"
    list_of_teams: { "services": { "a": { "teams": ["t"] } } } at "services.a.teams"
    exception_without_reason: {
        "services": { "a": {} },
        "exceptions": [{ "service": "a", "values": { "slots": 4 }, "reason": " ", "author": "ana", "added_ms": 1 }]
    } at "exceptions[0].reason"
    exception_for_nothing: {
        "exceptions": [{ "service": "b", "values": {}, "reason": "r", "author": "ana", "added_ms": 1 }]
    } at "exceptions[0].service" "exceptions[0].values"
    exceptions_that_contradict: {
        "services": { "a": {} },
        "exceptions": [
            { "service": "a", "values": { "slots": 4 }, "reason": "r", "author": "ana", "added_ms": 1 },
            { "service": "a", "values": { "slots": 5 }, "reason": "r", "author": "ana", "added_ms": 1 }
        ]
    } at "exceptions[1].values.slots"
    not_an_object: 7 at "document"
}

#[test]
fn exception_overrides_default_for_its_service_only() {
    let document = json!({
        "defaults": { "deadline_ms": 100, "slots": 6 },
        "services": { "a": {}, "b": {} },
        "exceptions": [{ "service": "a", "values": { "slots": 4 }, "reason": "old VM", "author": "ana", "added_ms": 1 }]
    });
    let fleet = parse(&document.to_string()).expect("document is valid");
    let (a, b) = (fleet.effective("a"), fleet.effective("b"));
    assert_eq!((a.deadline_ms, a.slots), (100, 4));
    assert_eq!((b.deadline_ms, b.slots), (100, 6));
}

#[test]
fn history_is_bounded() {
    let mut fleet = FleetConfig::default();
    for version in 1..=MAX_HISTORY as u64 + 5 {
        fleet.record(Change { id: format!("c{version}"), version, ..Change::default() });
    }
    assert_eq!(fleet.history.len(), MAX_HISTORY);
    assert_eq!(fleet.changes_since(MAX_HISTORY as u64 + 3).len(), 2);
    assert!(fleet.find_change("c1").is_none());
}

#[test]
fn version_in_force_never_decreases() {
    let current = Arc::new(CurrentFleet::default());
    let document = |slots: u64| json!({ "defaults": { "slots": slots } }).to_string();
    current.offer(5, &document(5));
    current.offer(4, &document(4));
    current.offer(6, "not json");
    let snapshot = current.get();
    assert_eq!((snapshot.version, snapshot.fleet.defaults.slots), (5, Some(5)));
}

macro_rules! in_force {
    ($($(#[$doc:meta])* $name:ident: $document:tt, $check:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let current = CurrentFleet::default();
            current.offer(5, &json!({ "services": { "old": {} } }).to_string());
            current.offer(6, &json!($document).to_string());
            let check: fn(&conf::Snapshot) = $check;
            check(&current.get());
        }
    )*};
}

in_force! {
    /// Guards against a process that keeps to an older version, with all its queues, because of
    /// one value beyond the bounds of the operators' tool.
    values_out_of_bounds_do_not_hold_up_a_version: {
        "services": { "a b": { "teams": { "t": { "weight": 0, "quota": 99_000_000 } } } },
        "queues": {
            "q/1": { "service": "a b", "host": "h", "prefix": "/1/", "priority": 2000,
                "attempts": 5000, "stretch": 5000.0, "target_ms": 1_000_000 },
            "q2": { "service": "elsewhere", "host": "h", "prefix": "/2/", "priority": u64::MAX,
                "attempts": 1, "stretch": 0.5, "target_ms": 0 }
        },
        "defaults": { "deadline_ms": 0, "slots": 5000 }
    }, |it| {
        assert_eq!(it.version, 6);
        let queue = &it.fleet.queues["q/1"];
        assert_eq!((queue.priority, queue.attempts, queue.target_ms), (2000, 5000, 1_000_000));
        assert_eq!(it.fleet.queues["q2"].priority, u64::MAX);
        assert_eq!((it.fleet.defaults.deadline_ms, it.fleet.defaults.slots), (Some(1), Some(1024)));
        let team = &it.fleet.services["a b"].teams["t"];
        assert_eq!((team.weight, team.quota), (1, Some(10_000_000)));
    };
    /// Guards against the loss of good queues for one that can't be read.
    an_unreadable_part_is_left_out_alone: {
        "services": { "a": {}, "b": 3 },
        "queues": {
            "bad": { "service": "a", "host": null, "prefix": "/1/", "priority": 0,
                "attempts": 1, "stretch": 1.6, "target_ms": 60 },
            "worse": [],
            "good": { "service": "a", "host": "h", "prefix": "/2/", "priority": 0,
                "attempts": 1, "stretch": 1.6, "target_ms": 60 }
        },
        "exceptions": [
            { "service": "a", "values": { "slots": "many" }, "reason": "r", "author": "ana", "added_ms": 1 },
            { "service": "a", "values": { "slots": 9000 }, "reason": "r", "author": "ana", "added_ms": 1 }
        ]
    }, |it| {
        assert_eq!(it.version, 6);
        assert_eq!(it.fleet.queues.keys().map(|k| &**k).collect::<Vec<_>>(), ["good"]);
        assert_eq!(it.fleet.services.keys().map(|k| &**k).collect::<Vec<_>>(), ["a"]);
        assert_eq!(it.fleet.exceptions.len(), 1);
        assert_eq!(it.fleet.effective("a").slots, 1024);
    };
    /// An older process can't know what a field of a newer one means.
    a_version_with_unknown_fields_is_not_applied: {
        "services": { "a": { "team": {} } }
    }, |it| assert_eq!(it.version, 5);
}

macro_rules! ranks {
    ($($(#[$doc:meta])* $name:ident: [$($priority:literal),+] => [$($rank:literal),+];)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let priorities = [$($priority),+];
            let ranks = [$($rank),+];
            let snapshot = queues(&priorities);
            for (index, rank) in ranks.into_iter().enumerate() {
                let found = snapshot.queue_rank(&format!("q{index}"));
                assert_eq!(found.rank, rank, "queue of priority {}", priorities[index]);
            }
        }
    )*};
}

ranks! {
    /// A burst of the long kind delays the others if their classes don't follow priorities.
    ranks_follow_priorities: [2, 0, 1] => [2, 0, 1];
    /// A service with one priority must behave as without classes.
    equal_priorities_have_one_rank: [7, 7, 7] => [0, 0, 0];
    /// A gap must not make a queue less urgent than its place in the order.
    gaps_between_priorities_do_not_count: [1000, 10, 10, 500] => [2, 0, 0, 1];
    /// The platform sets no highest priority.
    priorities_have_no_highest_number: [5000, 2000, 0] => [2, 1, 0];
    /// The configuration sets no bound on the number of priorities.
    more_priorities_than_classes_have_ranks_of_their_own: [5, 4, 3, 2, 1, 0] => [5, 4, 3, 2, 1, 0];
}

/// Another service's queues must not make the only priority of a service less urgent.
#[test]
fn queues_of_other_services_do_not_count() {
    let snapshot = queues(&[3, 1]);
    assert_eq!(snapshot.queue_rank("other"), QueueRank { rank: 0, ranks: 1 });
    assert_eq!(snapshot.queue_rank("q0"), QueueRank { rank: 1, ranks: 2 });
}

/// The configuration with a queue of each priority, and one of another service whose
/// priority is the highest.
fn queues(priorities: &[u32]) -> Arc<conf::Snapshot> {
    let queue = |service: &str, name: &str, priority: u32| {
        json!({
            "service": service, "host": "h", "prefix": format!("/{name}/"), "priority": priority,
            "attempts": 1, "stretch": 1.6, "target_ms": 60
        })
    };
    let mut list = serde_json::Map::new();
    list.insert("other".to_owned(), queue("b", "other", 0));
    for (index, priority) in priorities.iter().enumerate() {
        let name = format!("q{index}");
        list.insert(name.clone(), queue("a", &name, *priority));
    }
    let current = CurrentFleet::default();
    let document = json!({ "services": { "a": {}, "b": {} }, "queues": list });
    current.offer(1, &document.to_string());
    current.get()
}

#[test]
fn rows_of_gone_entries_expire() {
    let address = "127.0.0.1:7200".parse().expect("it is an address");
    let row = EntryRow { http: address, rpc: address, seen_ms: 1_000_000, processes: Vec::new() };
    assert!(row.is_live(1_000_000 + EntryRow::REFRESH_INTERVAL_MS));
    assert!(!row.is_live(1_000_000 + 5 * EntryRow::REFRESH_INTERVAL_MS));
    // a row of another writer with a time far ahead
    assert!(!row.is_live(1_000_000 - 5 * EntryRow::REFRESH_INTERVAL_MS));
}

#[test]
fn processes_of_an_entry_are_bounded() {
    let address = "127.0.0.1:7200".parse().expect("it is an address");
    let mut row = EntryRow { http: address, rpc: address, seen_ms: 0, processes: Vec::new() };
    let day_ms = 24 * 3_600_000;
    for incarnation in 0..200 {
        row.add_process(EntryProcess { incarnation, started_ms: day_ms + incarnation });
    }
    assert_eq!(row.processes.len(), 50);
    row.add_process(EntryProcess { incarnation: 200, started_ms: 3 * day_ms });
    assert_eq!(row.processes.len(), 1);
}
