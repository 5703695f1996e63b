//! Counts of answers survive restarts and losses of entries, and outages of the
//! store.

use std::{fs, time::Duration};

use e2e::{Deployment, on_loopback};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

async fn send_requests(it: &Deployment, entry: usize, count: usize) {
    for _ in 0..count {
        let body = json!({"team": "coop", "repeatable": true, "body": {"run_ms": 1}});
        assert_eq!(it.send(entry, "request", &body).await.outcome(), "done");
    }
}

fn burn_report(it: &Deployment, args: &[&str]) -> Value {
    let output = it.run_ctl(&[&["burn", "--json"], args].concat());
    assert_eq!(output.code, 0, "{}", output.stderr);
    serde_json::from_str(&output.stdout).expect("report is JSON")
}

/// Waits until the stored counts add up to a number of answers.
async fn wait_answers(it: &Deployment, expected: u64) -> Value {
    for _ in 0..50 {
        let report = burn_report(it, &[]);
        if report["rows"][0]["answers"] == expected {
            return report;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("{expected} answers were never reported: {}", burn_report(it, &[]));
}

on_loopback! {
    counts_survive_restarted_and_lost_entries(it, 2, 1) {
        send_requests(&it, 0, 3).await;
        send_requests(&it, 1, 4).await;
        // one entry stops gracefully, the other is killed after it wrote its counts
        assert!(it.entries[0].stop_gracefully().await.success());
        wait_answers(&it, 7).await;
        it.entries[1].kill();
        for i in 0..2 {
            it.entries[i] = it.start_entry(i);
        }
        it.wait_ready().await;
        send_requests(&it, 0, 2).await;
        let report = wait_answers(&it, 9).await;
        let missing = report["missing"].as_array().expect("missing periods are listed");
        let entries: Vec<_> = missing.iter().filter_map(|g| g["entry"].as_str()).collect();
        assert_eq!(entries, ["entry-1"]);
    }

    counts_are_written_after_an_outage_of_the_store(it, 1, 1) {
        it.set_faults(&json!({"down": true})).await;
        send_requests(&it, 0, 3).await;
        sleep(Duration::from_millis(1500)).await;
        it.set_faults(&json!({})).await;
        let report = wait_answers(&it, 3).await;
        assert_eq!(report["missing"], json!([]));
    }

    html_page_is_written(it, 1, 1) {
        send_requests(&it, 0, 1).await;
        it.entries[0].signal(Signal::SIGTERM);
        wait_answers(&it, 1).await;
        let path = std::env::temp_dir().join(format!("egret-burn-{}.html", it.platform_port));
        burn_report(&it, &["--html", &path.display().to_string()]);
        let page = fs::read_to_string(&path).expect("page is written");
        fs::remove_file(&path).expect("page can be removed");
        assert!(page.contains("<svg") && page.contains("ledger"));
    }
}
