use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use base::{Event, Token};
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::io::{BufReader, BufWriter};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{
    Bootstrap, Error, PROTOCOL_VERSION, Result,
    egret_capnp::{agent, entry, gate},
    traffic::{CountedRead, CountedWrite},
};

const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// A peer that has not presented the token by then is disconnected.
const AUTH_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Includes connections that are not authenticated yet.
const MAX_CONNECTIONS: usize = 8192;
/// In words of 8 bytes.
const MAX_MESSAGE_WORDS: usize = 2 << 20;
/// Bytes read or written by one system call. A message consists of several
/// parts, each of which would be a call of its own. A thin entry has about 100 links.
const BUFFER_BYTES: usize = 4096;

/// Open connection to another process of the fleet.
pub struct Link {
    gate: gate::Client,
    state: Rc<LinkState>,
    address: SocketAddr,
    agent: Option<agent::Client>,
    entry: Option<entry::Client>,
    task: JoinHandle<()>,
}

/// Whether a connection has ended, and its traffic.
#[derive(Default)]
struct LinkState {
    is_down: Cell<bool>,
    /// bytes sent and received
    bytes: Rc<Cell<u64>>,
    ended: Notify,
}

impl LinkState {
    fn set_down(&self) {
        self.is_down.set(true);
        self.ended.notify_waiters();
    }
}

impl Link {
    /// Closes the connection without waiting for the peer; calls in progress fail.
    pub fn close(&self) {
        self.task.abort();
        self.state.set_down();
    }

    /// Whether the connection has ended.
    pub fn is_down(&self) -> bool {
        self.state.is_down.get()
    }

    /// Waits until the connection has ended.
    pub async fn wait_down(&self) {
        let ended = self.state.ended.notified();
        if !self.is_down() {
            ended.await;
        }
    }

    /// Bytes sent and received so far.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.get()
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Client of the peer's agent interface.
    ///
    /// # Errors
    /// When the peer is not an agent.
    pub fn agent(&self) -> Result<agent::Client> {
        self.agent.clone().ok_or_else(|| self.refusal("not an agent"))
    }

    /// Client of the peer's entry interface.
    ///
    /// # Errors
    /// When the peer is not an entry.
    pub fn entry(&self) -> Result<entry::Client> {
        self.entry.clone().ok_or_else(|| self.refusal("not an entry"))
    }

    async fn open(&mut self, token: &Token) -> Result<()> {
        let mut req = self.gate.open_request();
        req.get().set_token(token.as_bytes());
        req.get().set_protocol(PROTOCOL_VERSION);
        let res = req.send().promise.await.map_err(|e| self.refusal(&e.to_string()))?;
        let res = res.get()?;
        self.agent = res.has_agent().then(|| res.get_agent()).transpose()?;
        self.entry = res.has_entry().then(|| res.get_entry()).transpose()?;
        Ok(())
    }

    fn refusal(&self, reason: &str) -> Error {
        Error::Refused { address: self.address.to_string(), reason: reason.to_owned() }
    }
}

/// Connects to a process of the fleet and authenticates with the token.
///
/// # Errors
/// `Connect` or `NotListening` if it can't be reached, `Refused` if it rejects
/// the token or the protocol version.
pub async fn dial(address: SocketAddr, token: &Token) -> Result<Link> {
    dial_within(DIAL_TIMEOUT, address, token).await
}

/// Like [`dial`], with a timeout. A short one suits a caller that retries soon, as
/// TCP retransmits a SYN to a machine without power only after a second.
///
/// # Errors
/// See [`dial`].
pub async fn dial_within(limit: Duration, address: SocketAddr, token: &Token) -> Result<Link> {
    match timeout(limit, connect_and_open(address, token)).await {
        Ok(link) => link,
        Err(_) => Err(connect_error(address, "no answer in time")),
    }
}

/// Accepts connections for as long as the process runs.
pub async fn serve(listener: TcpListener, bootstrap: Bootstrap) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => handle_connection(stream, bootstrap.for_connection(), permit),
            Err(e) => {
                Event::LinkLost.log(format_args!("accept failed: {e}"));
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

fn handle_connection(stream: TcpStream, bootstrap: Bootstrap, permit: OwnedSemaphorePermit) {
    let authenticated = bootstrap.authenticated();
    let connection = start_rpc(stream, Side::Server, Some(capnp_rpc::new_client(bootstrap)));
    actix::spawn(async move {
        sleep(AUTH_TIMEOUT).await;
        if !authenticated.get() {
            connection.task.abort();
        }
        // the task has ended, whether aborted or not
        let _ = connection.task.await;
        drop(permit);
    });
}

async fn connect_and_open(address: SocketAddr, token: &Token) -> Result<Link> {
    let stream =
        TcpStream::connect(address).await.map_err(|e| classify_connect_error(address, &e))?;
    let connection = start_rpc(stream, Side::Client, None);
    let Connection { gate, state, task } = connection;
    let mut link = Link { gate, state, address, agent: None, entry: None, task };
    link.open(token).await?;
    Ok(link)
}

struct Connection {
    gate: gate::Client,
    state: Rc<LinkState>,
    task: JoinHandle<()>,
}

fn start_rpc(stream: TcpStream, side: Side, gate: Option<gate::Client>) -> Connection {
    // a small message must not wait for the next one
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    let state = Rc::<LinkState>::default();
    let network = VatNetwork::new(
        BufReader::with_capacity(
            BUFFER_BYTES,
            CountedRead::new(read.compat(), state.bytes.clone()),
        ),
        BufWriter::with_capacity(
            BUFFER_BYTES,
            CountedWrite::new(write.compat_write(), state.bytes.clone()),
        ),
        side,
        options,
    );
    let mut system = RpcSystem::new(Box::new(network), gate.map(|g| g.client));
    let gate = system.bootstrap(Side::Server);
    let connection = state.clone();
    let task = actix::spawn(async move {
        if let Err(e) = system.await {
            log::debug!("link ended: {e}");
        }
        connection.set_down();
    });
    Connection { gate, state, task }
}

fn classify_connect_error(address: SocketAddr, error: &std::io::Error) -> Error {
    if error.kind() == std::io::ErrorKind::ConnectionRefused {
        return Error::NotListening { address: address.to_string() };
    }
    connect_error(address, &error.to_string())
}

fn connect_error(address: SocketAddr, reason: &str) -> Error {
    Error::Connect { address: address.to_string(), reason: reason.to_owned() }
}
