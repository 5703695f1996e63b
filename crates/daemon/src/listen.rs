use std::{
    net::{self, SocketAddr},
    time::Duration,
};

use tokio::net::TcpListener;

use crate::{Error, Result};

/// Time in which a client must send the head of a request; a slower one is
/// disconnected. The time goes on while the process is suspended, so it is far
/// longer than callers of urgent work wait: one that still waits gets its answer.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Binds the port for peers.
///
/// # Errors
/// When the port can't be bound.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|why| Error::Listen { address, why })
}

/// Binds the port for HTTP.
///
/// # Errors
/// When the port can't be bound.
pub fn listen_http(address: SocketAddr) -> Result<net::TcpListener> {
    net::TcpListener::bind(address).map_err(|why| Error::Listen { address, why })
}
