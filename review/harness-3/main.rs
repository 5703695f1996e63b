//! Runs one case of the review against the programs of the deploy file:
//! `harness-3 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod executor;
mod fleet;
mod http;
mod lives;
mod odd;
mod orphans;
mod record;
mod store;

use std::{env, fs, process::exit, sync::Arc};

use record::Record;

/// What a case found: each break of the rule, in a line.
type Outcome = Result<(Arc<Record>, Vec<String>), String>;

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: harness-3 CASE RECORD");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |v| v != "0");
    let outcome: Outcome = match case.as_str() {
        "next-life" => lives::run(trouble),
        "orphans" => orphans::run(trouble),
        "odd-row" => odd::row(trouble),
        "odd-end" => odd::end(trouble),
        "odd-run" => odd::run(trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match outcome {
        Ok((record, breaks)) => {
            let mut text = record.text();
            for line in &breaks {
                println!("{line}");
                text.push_str(&format!("BROKEN: {line}\n"));
            }
            if fs::write(path, text).is_err() {
                exit(2);
            }
            println!("{} in {path}", if breaks.is_empty() { "the rule held" } else { "broken" });
            exit(i32::from(!breaks.is_empty()));
        }
        Err(e) => {
            eprintln!("{e}");
            exit(2);
        }
    }
}
