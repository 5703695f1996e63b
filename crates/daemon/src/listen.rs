use std::net::{self, SocketAddr};

use tokio::net::TcpListener;

use crate::{Error, Result};

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
