//! Pressure of racks, without agents or a network.

use std::time::Duration;

use base::Name;
use placement::RackDemand;

const START: Duration = Duration::from_secs(100);

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|n| Name::from(*n)).collect()
}

/// Eight racks with an agent each; every agent also has its kind as a label.
fn fleet() -> Vec<(Vec<Name>, u32)> {
    (0..8).map(|i| (names(&["kind", &format!("r{i}")]), 16_000)).collect()
}

fn refresh(racks: &mut RackDemand, fleet: &[(Vec<Name>, u32)], now: Duration) {
    racks.refresh(fleet.iter().map(|(labels, cpu)| (&**labels, *cpu)), now);
}

/// Four seconds of load with a job each 10 ms; returns their end.
fn load(racks: &mut RackDemand, rack: impl Fn(u32) -> Name, from: Duration) -> Duration {
    (0..400).for_each(|i| racks.record(&rack(i), 1.0, from + Duration::from_millis(10) * i));
    from + Duration::from_secs(4)
}

/// Three of ten jobs on the first rack of eight.
fn hot(i: u32) -> Name {
    if i % 10 < 3 { "r0".into() } else { "".into() }
}

macro_rules! cases {
    ($($name:ident: $case:expr;)*) => {
        $(#[test] fn $name() { let case: fn(&mut RackDemand) = $case; case(&mut RackDemand::default()); })*
    };
}

cases! {
    pressure_is_share_of_demand_over_share_of_capacity: |racks| {
        let now = load(racks, hot, START);
        refresh(racks, &fleet(), now);
        assert!((1.9..2.5).contains(&racks.pressure("r0")), "{}", racks.pressure("r0"));
        assert_eq!(racks.pressure_at(&names(&["kind", "r1"])), 0.0);
        assert!(racks.any_hot() && racks.pressure_at(&names(&["kind", "r0"])) > 1.0);
    };
    // guards against work kept away from a rack whose load has gone
    pressure_decays_within_seconds_after_the_load: |racks| {
        let now = load(racks, hot, START);
        let end = load(racks, |_| "".into(), now);
        refresh(racks, &fleet(), end);
        assert!(!racks.any_hot() && racks.pressure("r0") < 0.5, "{}", racks.pressure("r0"));
        refresh(racks, &fleet(), end + Duration::from_secs(7));
        assert!(racks.is_empty() && racks.highest(5).is_empty());
    };
    // guards against a high pressure by the very first job of a rack
    the_first_job_makes_no_rack_hot: |racks| {
        racks.record(&"r0".into(), 1.0, START);
        refresh(racks, &fleet(), START + Duration::from_millis(100));
        assert!(!racks.any_hot());
    };
    // guards against memory that callers can fill, and against the loss of a real
    // rack among invented ones
    no_more_than_256_racks_are_kept: |racks| {
        load(racks, |i| if i % 10 < 3 { "r0".into() } else { format!("invented-{i}").as_str().into() }, START);
        (0..1000).for_each(|i| racks.record(&format!("other-{i}").as_str().into(), 0.01, START + Duration::from_secs(4)));
        assert_eq!(racks.len(), 256);
        refresh(racks, &fleet(), START + Duration::from_secs(4));
        assert!(racks.pressure("r0") > 1.0);
        assert_eq!(racks.highest(5).len(), 1, "invented names aren't shown");
    };
    a_rack_without_agents_has_no_pressure: |racks| {
        let now = load(racks, |_| "elsewhere".into(), START);
        refresh(racks, &fleet(), now);
        assert!(!racks.any_hot() && racks.highest(5).is_empty());
        refresh(racks, &[], now);
        assert!(!racks.any_hot());
    };
    // guards against a pressure by agents that have left
    pressure_follows_the_capacity: |racks| {
        let now = load(racks, hot, START);
        let mut fleet = fleet();
        fleet.push((names(&["r0"]), 48_000));
        refresh(racks, &fleet, now);
        let before = racks.pressure("r0");
        fleet.pop();
        refresh(racks, &fleet, now);
        assert!(before < 1.0 && racks.pressure("r0") > 1.9);
        fleet.remove(0);
        refresh(racks, &fleet, now);
        assert_eq!(racks.pressure("r0"), 0.0);
        fleet.iter_mut().for_each(|(_, cpu)| *cpu = 0);
        refresh(racks, &fleet, now);
        assert!(!racks.any_hot());
    };
    // guards against names and estimates by which a caller could end the process,
    // use much memory or hide the demand of others
    malformed_names_and_work_are_harmless: |racks| {
        racks.record(&"x".repeat(1 << 20).as_str().into(), 1.0, START);
        assert!(racks.is_empty(), "too long to be kept");
        for name in ["\0", "\"\n\\{}", " ", "\u{202e}r0"] {
            racks.record(&name.into(), f64::NAN, START);
            racks.record(&name.into(), f64::INFINITY, START);
            racks.record(&name.into(), -1.0, START);
        }
        refresh(racks, &fleet(), START);
        let now = load(racks, hot, START);
        refresh(racks, &fleet(), now);
        assert!((1.9..2.5).contains(&racks.pressure("r0")));
    };
    // guards against a panic when times of different callers go back
    an_earlier_time_is_harmless: |racks| {
        let now = load(racks, hot, START);
        racks.record(&"r0".into(), 1.0, START);
        refresh(racks, &fleet(), now);
        assert!((1.9..2.5).contains(&racks.pressure("r0")));
    };
    without_rack_names_nothing_is_kept: |racks| {
        let now = load(racks, |_| "".into(), START);
        refresh(racks, &fleet(), now);
        assert!(racks.is_empty() && !racks.any_hot());
    };
}
