//! Bad input on every port is refused without harm.

use std::{net::SocketAddr, time::Duration};

use base::Token;
use e2e::Deployment;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use wire::dial;

const SEED: u64 = 7;
const ROUNDS: usize = 200;
/// A peer that never opens is dropped within this.
const OPEN_LIMIT: Duration = Duration::from_secs(5);

macro_rules! still_serves_after {
    ($($name:ident($it:ident) $body:block)*) => {
        $(#[actix_web::test]
        async fn $name() {
            let $it = Deployment::start(1, 2).await;
            $body;
            let sent = $it.send(0, "request", &json!({"team": "coop", "body": {}})).await;
            assert_eq!(sent.outcome(), "done", "{:?}", sent.body);
        })*
    };
}

fn ports(it: &Deployment) -> Vec<u16> {
    let lists = [&it.entry_ports, &it.entry_rpc_ports, &it.agent_ports, &it.agent_rpc_ports];
    lists.into_iter().flatten().copied().collect()
}

async fn connect(port: u16) -> TcpStream {
    TcpStream::connect(("127.0.0.1", port)).await.expect("port is open")
}

fn rpc_address(it: &Deployment) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], it.agent_rpc_ports[0]))
}

still_serves_after! {
    random_bytes(it) {
        let mut rng = StdRng::seed_from_u64(SEED);
        for port in ports(&it) {
            for _ in 0..ROUNDS {
                let mut bytes = vec![0; rng.random_range(1..2048)];
                rng.fill(&mut bytes[..]);
                // the other side may close while we write
                let _ = connect(port).await.write_all(&bytes).await;
            }
        }
    }

    oversized_frames(it) {
        for port in ports(&it) {
            for header in [[0xff; 8], [0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f]] {
                let mut stream = connect(port).await;
                let _ = stream.write_all(&header).await;
                let _ = stream.write_all(&[0; 1 << 16]).await;
            }
        }
    }

    half_open_connections(it) {
        let mut open = Vec::new();
        for port in ports(&it) {
            for _ in 0..100 {
                let mut stream = connect(port).await;
                stream.write_all(b"\0").await.expect("one byte goes out");
                open.push(stream);
            }
        }
        let sent = it.send(0, "request", &json!({"team": "coop", "body": {}})).await;
        assert_eq!(sent.outcome(), "done");
    }

    peer_that_never_opens_is_dropped(it) {
        for port in [it.entry_rpc_ports[0], it.agent_rpc_ports[0]] {
            let mut stream = connect(port).await;
            let read = timeout(OPEN_LIMIT, stream.read(&mut [0; 16])).await;
            assert!(matches!(read, Ok(Ok(0) | Err(_))), "port {port}: {read:?}");
        }
    }

    wrong_token(it) {
        let refused = dial(rpc_address(&it), &Token::new("guess")).await;
        assert!(matches!(refused, Err(wire::Error::Refused { .. })));
        assert!(dial(rpc_address(&it), &Token::new(&it.token())).await.is_ok());
    }
}
