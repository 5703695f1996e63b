use std::net::{self, SocketAddr};

use tokio::net::TcpListener;

use crate::{Error, Result};

/// Takes a port for peers.
///
/// # Errors
/// When it can't be had.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|why| Error::Listen { address, why })
}

/// Takes a port for HTTP.
///
/// # Errors
/// When it can't be had.
pub fn listen_http(address: SocketAddr) -> Result<net::TcpListener> {
    net::TcpListener::bind(address).map_err(|why| Error::Listen { address, why })
}
