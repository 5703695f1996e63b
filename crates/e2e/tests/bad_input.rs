//! After malformed input on any port, the processes still serve requests.

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
const CONNECTIONS_PER_PORT: usize = 200;
/// Time within which a peer that sends no message is disconnected.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

macro_rules! still_serves_after {
    ($($name:ident($it:ident) $body:block)*) => {
        $(#[actix_web::test]
        async fn $name() {
            let $it = Deployment::start(1, 2).await;
            $body;
            let res = $it.send(0, "request", &json!({"team": "coop", "body": {}})).await;
            assert_eq!(res.outcome(), "done", "{:?}", res.body);
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
            for _ in 0..CONNECTIONS_PER_PORT {
                let mut bytes = vec![0; rng.random_range(1..2048)];
                rng.fill(&mut bytes[..]);
                // the peer may close the connection during the write
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
        let mut streams = Vec::new();
        for port in ports(&it) {
            for _ in 0..100 {
                let mut stream = connect(port).await;
                stream.write_all(b"\0").await.expect("one byte is sent");
                streams.push(stream);
            }
        }
        let res = it.send(0, "request", &json!({"team": "coop", "body": {}})).await;
        assert_eq!(res.outcome(), "done");
    }

    peer_that_sends_no_message_is_disconnected(it) {
        for port in [it.entry_rpc_ports[0], it.agent_rpc_ports[0]] {
            let mut stream = connect(port).await;
            let read = timeout(HANDSHAKE_TIMEOUT, stream.read(&mut [0; 16])).await;
            assert!(matches!(read, Ok(Ok(0) | Err(_))), "port {port}: {read:?}");
        }
    }

    wrong_token(it) {
        let rejected = dial(rpc_address(&it), &Token::new("guess")).await;
        assert!(matches!(rejected, Err(wire::Error::Refused { .. })));
        assert!(dial(rpc_address(&it), &Token::new(&it.token())).await.is_ok());
    }
}
