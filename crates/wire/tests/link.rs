//! Links over loopback connections.

use std::net::SocketAddr;

use actix::System;
use base::Token;
use wire::{Bootstrap, Traffic, dial, egret_capnp::entry};

/// Connections opened, each with a few messages.
const CONNECTIONS: usize = 20;

struct IdleEntry;

impl entry::Server for IdleEntry {}

/// An unbuffered link made a system call for the header and for each segment of
/// a message, which took most of the processor time of an idle agent.
#[test]
fn a_message_takes_at_most_one_write() {
    System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = listener.await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let token = Token::default();
        let entry = capnp_rpc::new_client(IdleEntry);
        actix::spawn(wire::serve(listener, Bootstrap::for_entry(token.clone(), entry)));
        for _ in 0..CONNECTIONS {
            dial(address, &token).await.expect("a link").close();
        }
    });
    let Traffic { messages, writes, .. } = Traffic::totals();
    assert!(messages >= 3 * CONNECTIONS as u64, "{messages} messages");
    assert!(writes <= messages, "{writes} writes for {messages} messages");
}
