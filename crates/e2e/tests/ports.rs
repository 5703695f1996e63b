//! A port from `free_port` can be listened on at once, also while child processes
//! start that inherit sockets.

use std::{
    net::TcpListener,
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use e2e::free_port;

/// Ports of two ranges: enough for a child process to start in between.
const PORTS: usize = 400;

#[test]
fn a_port_is_free_while_programs_start() {
    let is_over = AtomicBool::new(false);
    let failures = thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let status = Command::new("true").status().expect("true can be run");
                    assert!(status.success());
                }
            });
        }
        let ports = (0..PORTS).map(|_| free_port());
        let failures = ports.filter_map(|p| TcpListener::bind(("127.0.0.1", p)).err()).count();
        is_over.store(true, Ordering::Relaxed);
        failures
    });
    assert_eq!(failures, 0, "of {PORTS} ports");
}
