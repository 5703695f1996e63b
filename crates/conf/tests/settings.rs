//! Example settings load; faults are told all at once.

use std::path::Path;

use conf::{AgentSettings, Check, EntrySettings, load};

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
}

#[test]
fn every_fault_is_told() {
    let settings = AgentSettings { slots: 0, beat_ms: 1, ..AgentSettings::default() };
    let fields: Vec<_> = settings.faults().into_iter().map(|f| f.field).collect();
    assert_eq!(fields, ["token", "service", "entries", "slots", "beat_ms"]);
}
