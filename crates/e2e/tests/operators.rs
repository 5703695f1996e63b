//! Operators' tasks, done with `egretctl` only.

use std::{fs, time::Duration};

use e2e::{Deployment, Tool, ToolOutput, on_loopback};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLLS: usize = 100;

fn check_code(it: &Deployment, args: &[&str], code: i32) -> ToolOutput {
    let output = it.run_ctl(args);
    assert_eq!(output.code, code, "{args:?}: {}{}", output.stdout, output.stderr);
    output
}

fn query(it: &Deployment, args: &[&str]) -> Value {
    let output = check_code(it, &[args, &["--json"]].concat(), 0);
    serde_json::from_str(&output.stdout).expect("query prints JSON")
}

/// Maximum number of tasks that ran at once on a backend server.
async fn max_running(it: &Deployment, backend: usize) -> u64 {
    let url = format!("http://127.0.0.1:{}/admin/stats", it.backend_ports[backend]);
    let mut res = awc::Client::default().get(url).send().await.expect("backend server answers");
    let stats: Value = res.json().await.expect("stats are JSON");
    stats["most"].as_u64().expect("stats have the count")
}

/// Waits until a query shows a value at a JSON pointer.
async fn wait_shown(it: &Deployment, args: &[&str], pointer: &str, expected: &Value) {
    for _ in 0..MAX_POLLS {
        if query(it, args).pointer(pointer) == Some(expected) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("{args:?} never showed {expected} at {pointer}: {}", query(it, args));
}

fn write_file(it: &Deployment, name: &str, body: &Value) -> String {
    let path = std::env::temp_dir().join(format!("egret-{}-{name}", it.platform_port));
    fs::write(&path, body.to_string()).expect("file is written");
    path.display().to_string()
}

on_loopback! {
    drained_agent_takes_no_new_work(it, 2, 3) {
        check_code(&it, &["drain", "agent-0"], 0);
        let starts = it.starts().await.len();
        // through both entries at once: the other one may not know of the drain yet
        for i in 0..20 {
            let body = json!({"team": "coop", "key": format!("k{i}"), "body": {"run_ms": 1}});
            let res = it.send(i % 2, "request", &body).await;
            assert_eq!(res.outcome(), "done", "{:?}", res.body);
            assert_ne!(res.body["agent"], "agent-0");
        }
        assert_eq!(it.starts().await.len(), starts + 20);
        wait_shown(&it, &["agents"], "/0/ready", &json!(false)).await;
        check_code(&it, &["undrain", "agent-0"], 0);
        wait_shown(&it, &["agents"], "/0/ready", &json!(true)).await;
        check_code(&it, &["drain", "nobody"], 1);
    }

    stopping_agent_stays_drained(it, 1, 1) {
        let body = json!({"team": "coop", "key": "long", "body": {"run_ms": 2000}});
        let file = write_file(&it, "stopping.json", &body);
        let submit = it.start_ctl(0, &["submit", "ledger", &file]);
        wait_shown(&it, &["agents"], "/0/running", &json!(1)).await;
        it.agents[0].signal(Signal::SIGTERM);
        wait_shown(&it, &["agents"], "/0/ready", &json!(false)).await;
        let output = check_code(&it, &["undrain", "agent-0"], 0);
        assert!(output.stdout.contains("takes no new work"), "{}", output.stdout);
        assert_eq!(submit.finish().code, 0);
        fs::remove_file(file).expect("file can be removed");
    }

    lowered_slots_limit_running_tasks(it, 1, 1) {
        let args = ["--author=ana", "exception-add", "ledger", "slots=2", "--reason", "old VM"];
        check_code(&it, &args, 0);
        wait_shown(&it, &["agents"], "/0/slots", &json!(2)).await;
        let tasks: Vec<_> = (0..20).map(|_| json!({"body": {"run_ms": 20}})).collect();
        let res = it.send(0, "job", &json!({"team": "coop", "key": "j", "tasks": tasks})).await;
        assert_eq!(res.outcome(), "done", "{:?}", res.body);
        assert_eq!(max_running(&it, 0).await, 2);
        check_code(&it, &["exception-remove", "ledger", "slots"], 0);
        wait_shown(&it, &["agents"], "/0/slots", &json!(8)).await;
    }

    work_is_submitted_queried_and_cancelled(it, 1, 1) {
        let request = json!({"team": "coop", "key": "r1", "body": {"run_ms": 1}});
        let file = write_file(&it, "request.json", &request);
        check_code(&it, &["submit", "ledger", &file], 0);
        let job = json!({"team": "coop", "key": "j1", "tasks": [{"body": {"fail": true}}]});
        let job = write_file(&it, "job.json", &job);
        check_code(&it, &["submit-job", "ledger", &job], 3);
        let key = ["--team=coop", "--key=r1"];
        let status = query(&it, &[&["status", "ledger"], &key[..]].concat());
        assert_eq!(status["state"], "done");
        check_code(&it, &[&["cancel", "ledger"], &key[..]].concat(), 0);
        for path in [file, job] {
            fs::remove_file(path).expect("file can be removed");
        }
    }

    long_job_reports_progress(it, 1, 1) {
        let job = json!({"team": "coop", "key": "j1", "tasks": [{"body": {"run_ms": 2500}}]});
        let file = write_file(&it, "long.json", &job);
        let output = check_code(&it, &["submit-job", "ledger", &file], 0);
        fs::remove_file(&file).expect("file can be removed");
        assert!(output.stderr.contains("no answer yet"), "{}", output.stderr);
    }

    teams_and_services_are_added_changed_and_removed(it, 1, 1) {
        check_code(&it, &["service-create", "orders", "--team", "desk,weight=3,quota=50"], 0);
        check_code(&it, &["service-create", "orders"], 1);
        check_code(&it, &["service-change", "orders", "--team", "mill", "--drop-team", "desk"], 0);
        let services = query(&it, &["services"]);
        let orders = &services["services"][1];
        assert_eq!(orders["teams"], json!([{"team": "mill", "weight": 1}]));
        check_code(&it, &["service-remove", "orders"], 0);
        check_code(&it, &["service-remove", "orders"], 1);
        let shown = query(&it, &["defaults", "ledger"]);
        assert_eq!(shown["values"][0]["from"], "program");
    }

    calls_are_counted_by_method(it, 1, 2) {
        for i in 0..5 {
            let body = json!({"team": "coop", "key": format!("k{i}"), "body": {}});
            assert_eq!(it.send(0, "request", &body).await.outcome(), "done");
        }
        let run = it.metric(it.entry_ports[0], "egret_calls{method=\"run\"").await;
        assert_eq!(run, Some(5));
        let mut claims = 0;
        for port in &it.agent_ports {
            let name = "egret_calls{method=\"claim\"";
            claims += it.metric(*port, name).await.expect("claims are counted");
        }
        assert!((1..=5).contains(&claims), "{claims}");
    }

    loss_is_confirmed_with_a_reason(it, 1, 3) {
        wait_shown(&it, &["roster", "ledger"], "/settled", &json!(true)).await;
        let confirm = |rest: &[&'static str]| [&["--author=ana", "confirm-loss"], rest].concat();
        check_code(&it, &confirm(&["ledger", "agent-2"]), 1);
        check_code(&it, &confirm(&["ledger", "nobody", "--reason", "r"]), 1);
        check_code(&it, &confirm(&["nothing", "agent-2", "--reason", "r"]), 1);
        it.agents[2].kill();
        check_code(&it, &confirm(&["ledger", "agent-2", "--reason", "rack 3 burnt"]), 0);
        let shown = query(&it, &["roster", "ledger"]);
        assert_eq!(shown["members"].as_array().map(Vec::len), Some(3), "{shown}");
        assert_eq!(shown["confirmed"]["reason"], "rack 3 burnt");
        assert_eq!(shown["confirmed"]["author"], "ana");
    }

    check_of_settings_reports_all_faults(it, 1, 1) {
        let settings = json!({"slots": "many", "beet_ms": 5, "beat_ms": 1, "service": "a b"});
        let file = write_file(&it, "settings.json", &settings);
        for program in ["egret-agent", "egret-entry"] {
            let args = ["--settings".to_owned(), file.clone(), "--check-settings".to_owned()];
            let output = Tool::start_program(program, &args).finish();
            assert_eq!(output.code, 1, "{program}: {}", output.stderr);
            for field in ["slots", "beet_ms", "token"] {
                assert!(output.stderr.contains(&format!("  {field}: ")), "{program}: {}", output.stderr);
            }
        }
        fs::remove_file(file).expect("file can be removed");
    }

    exit_codes_are_as_documented(it, 1, 1) {
        check_code(&it, &["--help"], 0);
        check_code(&it, &["burn", "--help"], 0);
        check_code(&it, &["no-such-command"], 2);
        check_code(&it, &["service-create", "orders", "--team", "desk,wait=1"], 2);
        check_code(&it, &["submit", "ledger", "/no/such/file"], 1);
        check_code(&it, &["--expect=9", "default-set", "deadline_ms=1"], 4);
        let entry = format!("--entry=http://127.0.0.1:{}", it.entry_ports[0]);
        let cases = [
            (vec![entry, "--token=guess".to_owned(), "agents".to_owned()], 1),
            (vec!["--platform=http://127.0.0.1:1".to_owned(), "services".to_owned()], 5),
            (vec!["--entry=http://127.0.0.1:1".to_owned(), "agents".to_owned()], 5),
        ];
        for (args, code) in cases {
            assert_eq!(Tool::start(&args).finish().code, code, "{args:?}");
        }
    }
}
