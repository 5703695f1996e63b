//! Which of the states offered to a process is in force.

use base::Name;
use drain::{CurrentDrains, DrainedCentre, Drains, MAX_CENTRES};

/// State as of a version, with the version of the row and `since_ms` of each
/// drained data centre.
fn drains(as_of: u64, centres: &[(&str, u64, u64)]) -> Drains {
    let centre = |(name, version, since_ms): &(&str, u64, u64)| {
        (Name::from(*name), DrainedCentre { version: *version, since_ms: *since_ms })
    };
    Drains { as_of, centres: centres.iter().map(centre).collect() }
}

macro_rules! offers {
    ($($name:ident: $offered:expr => $in_force:expr;)*) => {
        $(#[test] fn $name() {
            let current = CurrentDrains::default();
            for offered in $offered {
                current.offer(&offered);
            }
            assert_eq!(current.get(), $in_force);
        })*
    };
}

offers! {
    // a drain that was taken back would stay in force
    a_newer_state_replaces_an_older_one:
        [drains(5, &[("a", 5, 1)]), drains(6, &[("b", 6, 2)])] => drains(6, &[("b", 6, 2)]);
    // a suspended entry would take a drain back, or begin one again
    a_stale_state_is_ignored:
        [drains(6, &[("a", 5, 1)]), drains(4, &[]), drains(5, &[("b", 4, 1)])]
            => drains(6, &[("a", 5, 1)]);
    // messages of older builds have no drains
    a_state_of_an_older_build_is_ignored:
        [drains(6, &[("a", 5, 1)]), drains(0, &[])] => drains(6, &[("a", 5, 1)]);
    a_state_without_version_drains_nothing: [drains(0, &[("a", 5, 1)])] => Drains::default();
    // entries that read a row late would move the time shown to operators
    the_earliest_time_of_a_drain_is_kept:
        [drains(5, &[("a", 5, 7)]), drains(5, &[("a", 5, 3)]), drains(9, &[("a", 5, 8)]),
            drains(4, &[("a", 5, 2)])] => drains(9, &[("a", 5, 2)]);
    the_time_of_another_drain_is_not_taken:
        [drains(9, &[("a", 9, 7)]), drains(5, &[("a", 5, 3)])] => drains(9, &[("a", 9, 7)]);
    // agents without a data centre in their settings would be drained
    a_data_centre_without_a_name_is_ignored:
        [drains(5, &[("", 5, 1), ("a", 4, 1)])] => drains(5, &[("a", 4, 1)]);
}

#[test]
fn only_a_drained_data_centre_is_drained() {
    let current = CurrentDrains::default();
    assert!(!current.is_drained("a") && current.is_empty());
    current.offer(&drains(5, &[("a", 5, 1)]));
    assert!(current.is_drained("a") && !current.is_drained("b") && !current.is_drained(""));
    assert_eq!(current.len(), 1);
}

// heartbeats would become too large for a link
#[test]
fn the_data_centres_drained_first_are_kept() {
    let most = MAX_CENTRES as u64;
    // names in the opposite order of versions
    let name = |version: u64| Name::from(format!("z{:03}", 999 - version).as_str());
    let centre = |version| (name(version), DrainedCentre { version, since_ms: 1 });
    let current = CurrentDrains::default();
    current.offer(&Drains { as_of: 900, centres: (1..=most + 9).map(centre).collect() });
    assert_eq!(current.len(), MAX_CENTRES);
    assert!(current.is_drained(&name(1)) && current.is_drained(&name(most)));
    assert!(!current.is_drained(&name(most + 1)));
}
