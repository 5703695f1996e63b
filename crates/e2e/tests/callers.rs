//! The callers' interface: the examples of docs/CALLERS.md work, and a refusal is
//! a JSON error that tells the caller what to do, with no task started.

use std::process::Command;

use awc::{Client, http::Method};
use e2e::{Deployment, on_loopback};
use serde_json::{Value, json};

const PAGE: &str = include_str!("../../../docs/CALLERS.md");
const ADDRESS: &str = "http://127.0.0.1:7100";

/// The code blocks of a language on the page.
fn code_blocks(language: &str) -> Vec<&'static str> {
    let start = format!("```{language}\n");
    PAGE.split(&start).skip(1).filter_map(|rest| rest.split("```").next()).collect()
}

/// Whether `found` has all that is expected; objects may have more keys.
fn contains(found: &Value, expected: &Value) -> bool {
    match (found, expected) {
        (Value::Object(found), Value::Object(expected)) => {
            expected.iter().all(|(k, e)| found.get(k).is_some_and(|f| contains(f, e)))
        }
        (Value::Array(found), Value::Array(expected)) => {
            found.len() == expected.len() && found.iter().zip(expected).all(|(f, e)| contains(f, e))
        }
        _ => found == expected,
    }
}

fn run_example(it: &Deployment, script: &str) -> Value {
    let entry = format!("http://127.0.0.1:{}", it.entry_ports[0]);
    let script = script.replace(ADDRESS, &entry);
    let output = Command::new("sh").args(["-ec", &script]).output().expect("sh is installed");
    assert!(output.status.success(), "{script}: {}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("answer is JSON")
}

async fn call(it: &Deployment, method: &str, path: &str, body: String) -> (u16, Value) {
    let url = format!("http://127.0.0.1:{}{path}", it.entry_ports[0]);
    let method: Method = method.parse().expect("method is valid");
    let res = Client::default().request(method, url).send_body(body).await;
    let mut res = res.expect("entry answers");
    let body = res.body().await.unwrap_or_default();
    (res.status().as_u16(), serde_json::from_slice(&body).unwrap_or(Value::Null))
}

on_loopback! {
    documented_examples_give_the_documented_answers(it, 1, 2) {
        let (scripts, answers) = (code_blocks("sh"), code_blocks("json"));
        assert!(scripts.len() == answers.len() && scripts.len() > 5);
        for (script, answer) in scripts.into_iter().zip(answers) {
            let found = run_example(&it, script);
            let expected: Value = serde_json::from_str(answer).expect("example is JSON");
            assert!(contains(&found, &expected), "{script}gave {found}");
        }
    }

    refusal_has_a_code_and_message_and_starts_nothing(it, 1, 1) {
        let request = "/v1/ledger/request";
        let valid = json!({"team": "coop", "body": {}}).to_string();
        let tasks = json!({"team": "coop", "tasks": vec![json!({"body": {}}); 751]}).to_string();
        let many_fields = json!({"team": "coop", "body": {}, "retries": 3}).to_string();
        let late = json!({"team": "coop", "body": {}, "deadline_ms": 0}).to_string();
        let old = json!({"team": "coop", "body": {}, "key": "k", "issued_ms": 1}).to_string();
        let cases = [
            ("POST", request, "{".to_owned(), 400, "malformed"),
            ("POST", request, String::new(), 400, "malformed"),
            ("POST", request, many_fields, 400, "malformed"),
            ("POST", request, late, 400, "deadline-passed"),
            ("POST", request, old, 410, "key-expired"),
            ("POST", request, "x".repeat(2 << 20), 413, "too-large"),
            ("POST", "/v1/nothing/request", valid.clone(), 404, "unknown-service"),
            ("POST", "/v1/ledger/jobs", valid.clone(), 404, "unknown-path"),
            ("POST", "/", valid.clone(), 404, "unknown-path"),
            ("GET", request, String::new(), 405, "wrong-method"),
            ("DELETE", "/v1/ledger/job", String::new(), 405, "wrong-method"),
            ("POST", "/v1/ledger/job", tasks, 422, "task-count"),
            ("GET", "/v1/ledger/status?team=coop", String::new(), 400, "malformed"),
            ("GET", "/v1/ledger/status?team=no&key=k", String::new(), 403, "unknown-team"),
            ("POST", "/v1/ledger/cancel", "[]".to_owned(), 400, "malformed"),
            ("GET", "/admin/agents", String::new(), 401, "wrong-token"),
            ("POST", "/admin/agents/agent-0/drain", r#"{"on":true}"#.to_owned(), 401, "wrong-token"),
        ];
        for (method, path, body, status, code) in cases {
            let (found, answer) = call(&it, method, path, body).await;
            assert_eq!((found, answer["error"]["code"].as_str()), (status, Some(code)), "{method} {path}: {answer}");
            let message = answer["error"]["message"].as_str().unwrap_or_default();
            assert!(message.len() > 20, "{method} {path}: {answer}");
            assert!(code == "wrong-token" || PAGE.contains(&format!("| `{code}` | {status} |")), "{code}");
        }
        assert!(it.starts().await.is_empty());
    }
}
