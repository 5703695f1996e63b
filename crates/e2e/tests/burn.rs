//! The history of answers outlives the entries that counted them.

use std::{fs, time::Duration};

use e2e::{Deployment, on_loopback};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

async fn send(it: &Deployment, entry: usize, count: usize) {
    for _ in 0..count {
        let body = json!({"team": "coop", "repeatable": true, "body": {"run_ms": 1}});
        assert_eq!(it.send(entry, "request", &body).await.outcome(), "done");
    }
}

fn report(it: &Deployment, args: &[&str]) -> Value {
    let ran = it.run_ctl(&[&["burn", "--json"], args].concat());
    assert_eq!(ran.code, 0, "{}", ran.stderr);
    serde_json::from_str(&ran.stdout).expect("report is JSON")
}

/// Waits for counts of the entries to reach the store.
async fn check_answers(it: &Deployment, expected: u64) -> Value {
    for _ in 0..50 {
        let report = report(it, &[]);
        if report["rows"][0]["answers"] == expected {
            return report;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("{expected} answers were never reported: {}", report(it, &[]));
}

on_loopback! {
    history_survives_the_entries(it, 2, 1) {
        send(&it, 0, 3).await;
        send(&it, 1, 4).await;
        // one stops in order at once, the other is lost after it wrote
        assert!(it.entries[0].stop_gracefully().await.success());
        check_answers(&it, 7).await;
        it.entries[1].kill();
        for i in 0..2 {
            it.entries[i] = it.start_entry(i);
        }
        it.wait_ready().await;
        send(&it, 0, 2).await;
        let report = check_answers(&it, 9).await;
        let missing = report["missing"].as_array().expect("missing stretches are listed");
        let entries: Vec<_> = missing.iter().filter_map(|g| g["entry"].as_str()).collect();
        assert_eq!(entries, ["entry-1"]);
    }

    counts_wait_for_the_store(it, 1, 1) {
        it.set_faults(&json!({"down": true})).await;
        send(&it, 0, 3).await;
        sleep(Duration::from_millis(1500)).await;
        it.set_faults(&json!({})).await;
        let report = check_answers(&it, 3).await;
        assert_eq!(report["missing"], json!([]));
    }

    page_is_written(it, 1, 1) {
        send(&it, 0, 1).await;
        it.entries[0].signal(Signal::SIGTERM);
        check_answers(&it, 1).await;
        let path = std::env::temp_dir().join(format!("egret-burn-{}.html", it.platform_port));
        report(&it, &["--html", &path.display().to_string()]);
        let page = fs::read_to_string(&path).expect("page is written");
        fs::remove_file(&path).expect("page was there");
        assert!(page.contains("<svg") && page.contains("ledger"));
    }
}
