//! Ports handed to tests can be listened on at once.

use std::{
    net::TcpListener,
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use e2e::free_port;

/// Two windows of ports are enough to meet a start of a program in between.
const PORTS: usize = 400;

#[test]
fn a_port_is_free_while_programs_start() {
    let over = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    let status = Command::new("true").status().expect("it starts");
                    assert!(status.success());
                }
            });
        }
        let ports = (0..PORTS).map(|_| free_port());
        let taken = ports.filter_map(|p| TcpListener::bind(("127.0.0.1", p)).err()).count();
        over.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "of {PORTS} ports");
}
