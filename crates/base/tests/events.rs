//! docs/EVENTS.md lists the same events as the code.

use base::Event;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

/// Number, level and text of each row; no cell may be empty.
fn rows() -> Vec<(String, String, String)> {
    let rows = CATALOGUE.lines().filter(|line| line.starts_with("| E"));
    rows.map(|line| {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        assert!(cells.len() == 5 && cells.iter().all(|c| !c.is_empty()), "not five cells: {line}");
        (cells[0].to_owned(), cells[1].to_owned(), cells[2].to_owned())
    })
    .collect()
}

#[test]
fn every_event_is_documented() {
    let rows = rows();
    for event in Event::ALL {
        let level = event.level().as_str().to_lowercase();
        let row = (format!("E{:04}", event.code()), level, event.text().to_owned());
        assert!(
            rows.contains(&row),
            "docs/EVENTS.md lacks this row; add it with its meaning and what the operator does:\n\
             | {} | {} | {} | meaning | what the operator does |",
            row.0,
            row.1,
            row.2
        );
    }
}

#[test]
fn every_documented_event_exists() {
    for row in rows() {
        let known = Event::ALL.iter().any(|e| format!("E{:04}", e.code()) == row.0);
        assert!(known, "docs/EVENTS.md lists {}, which crates/base/src/event.rs lacks", row.0);
    }
}

#[test]
fn numbers_are_ascending_and_unique() {
    let codes: Vec<_> = Event::ALL.iter().map(|e| e.code()).collect();
    let listed: Vec<_> = rows().into_iter().map(|row| row.0).collect();
    let mut sorted = listed.clone();
    sorted.sort();
    sorted.dedup();
    assert_eq!(listed, sorted, "docs/EVENTS.md is out of order");
    assert_eq!(codes.len(), listed.len());
}
