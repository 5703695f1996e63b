//! A program that can't listen on its address reports that and exits.

use std::{fs, net::TcpListener};

use e2e::{Tool, free_port};
use serde_json::{Value, json};

macro_rules! port_in_use_is_reported {
    ($($name:ident: $program:literal, $settings:expr)*) => {
        $(#[test]
        fn $name() {
            check_reported($program, $settings);
        })*
    };
}

fn check_reported(program: &str, mut settings: Value) {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port can be bound");
    let address = taken.local_addr().expect("socket has an address").to_string();
    settings["http"] = json!(address);
    settings["rpc"] = json!(format!("127.0.0.1:{}", free_port()));
    settings["token"] = json!("start");
    let path = std::env::temp_dir().join(format!("egret-start-{program}-{}", std::process::id()));
    fs::write(&path, settings.to_string()).expect("settings are written");
    let args = ["--settings".to_owned(), path.display().to_string()];
    let output = Tool::start_program(program, &args).finish();
    fs::remove_file(&path).expect("file can be removed");
    assert_eq!(output.code, 1, "{}", output.stderr);
    assert!(output.stderr.contains(&format!("can't listen on {address}")), "{}", output.stderr);
    assert!(!output.stderr.contains("panicked"), "{}", output.stderr);
}

port_in_use_is_reported! {
    by_an_entry: "egret-entry", json!({"name": "e"})
    by_an_agent: "egret-agent", json!({"name": "a", "service": "s", "entries": ["127.0.0.1:1"]})
}
