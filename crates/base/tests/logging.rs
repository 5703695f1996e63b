//! The rate limit of the log. The logger of a process is set once, so this is the
//! only test here.

use base::{Event, dropped_lines, start_logging};
use log::LevelFilter;

const LINES_PER_SECOND: u64 = 1000;

#[test]
fn lines_up_to_the_rate_limit_are_written() {
    start_logging("test", LevelFilter::Info).expect("no logger is set yet");
    for _ in 0..LINES_PER_SECOND {
        Event::Started.note(&[]);
    }
    assert_eq!(dropped_lines(), 0);
    Event::Started.note(&[]);
    assert_eq!(dropped_lines(), 1);
}
