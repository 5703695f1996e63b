//! The example settings load, and all faults of a file are reported at once.

use std::path::Path;

use conf::{
    AgentSettings, DispatchSettings, EntrySettings, Error, LeaseSettings, RunnerSettings, Validate,
    VisitSettings, load,
};

macro_rules! example_loads {
    ($($name:ident: $settings:ty = $file:literal)*) => {
        $(#[test]
        fn $name() {
            let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings").join($file);
            load::<$settings>(&path.display().to_string()).expect("example has no faults");
        })*
    };
}

example_loads! {
    entry_example_loads: EntrySettings = "entry.json"
    agent_example_loads: AgentSettings = "agent.json"
    platform_entry_example_loads: DispatchSettings = "platform-entry.json"
    platform_agent_example_loads: RunnerSettings = "platform-agent.json"
}

#[test]
fn every_fault_is_reported() {
    let settings = AgentSettings { slots: 0, beat_ms: 1, ..AgentSettings::default() };
    let fields: Vec<_> = settings.faults().into_iter().map(|f| f.field).collect();
    assert_eq!(fields, ["token", "service", "entries", "slots", "beat_ms"]);
}

#[test]
fn every_fault_of_settings_with_leases_is_reported() {
    let lease = LeaseSettings { resend_ms: -1.0, ..LeaseSettings::default() };
    let settings = DispatchSettings {
        body_bytes: 1,
        far_factor: 0.5,
        circle: 0,
        grace_s: 0.0,
        lease: lease.clone(),
        ..DispatchSettings::default()
    };
    let fields: Vec<_> = settings.faults().into_iter().map(|f| f.field).collect();
    assert_eq!(
        fields,
        ["token", "body_bytes", "far_factor", "circle", "grace_s", "lease.resend_ms"]
    );
    let visits = VisitSettings { pinned: 0, interval_ms: 0.0 };
    let settings = RunnerSettings { grace_s: f64::NAN, visits, lease, ..RunnerSettings::default() };
    let fields: Vec<_> = settings.faults().into_iter().map(|f| f.field).collect();
    assert_eq!(
        fields,
        ["token", "service", "grace_s", "visits.firm", "visits.pause_ms", "lease.resend_ms"]
    );
}

#[test]
fn unreadable_fields_are_reported_with_the_other_faults() {
    let path = std::env::temp_dir().join(format!("egret-settings-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"slots": "many", "beat": 5, "beat_ms": 1, "token": "t"}"#)
        .expect("file is written");
    let loaded = load::<AgentSettings>(&path.display().to_string());
    std::fs::remove_file(&path).expect("file was there");
    let Err(Error::Faults { faults, .. }) = loaded else { panic!("faults are reported") };
    let fields: Vec<_> = faults.into_iter().map(|f| f.field).collect();
    assert_eq!(fields, ["beat", "slots", "service", "entries", "beat_ms"]);
}
