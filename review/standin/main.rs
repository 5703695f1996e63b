//! Stand-ins and cases of the review: `review-standin CASE RECORD`. Exits with 1 if the
//! rule was broken, with 0 if it held, and with 2 if the case could not run. Without the
//! disruption if `TROUBLE` is 0.

mod cases;
mod executor;
mod fleet;
mod http;
mod json;
mod record;
mod store;

use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// A case takes 120 s at most; the programs that it started end with it.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{path}: {e}");
            exit(2);
        }
    };
    let limited = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        limited.line("could not run: it took too long");
        exit(2);
    });
    let verdict = cases::run(case, trouble, &record);
    let (code, line) = match verdict {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => (1, format!("the rule was broken {} times: {}", broken.len(), broken[0])),
        Err(reason) => (2, format!("could not run: {reason}")),
    };
    record.line(&line);
    println!("{line}");
    exit(code);
}
