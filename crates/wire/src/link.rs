use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use base::{Event, Token};
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
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
/// A peer that has not shown the token by then is dropped.
const AUTH_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Most connections at a time, opened or not.
const MAX_CONNECTIONS: usize = 8192;
/// Largest message taken from a peer, in words of 8 bytes.
const MAX_MESSAGE_WORDS: usize = 2 << 20;

/// An open connection to one of our processes.
pub struct Link {
    gate: gate::Client,
    down: Rc<Cell<bool>>,
    address: SocketAddr,
    agent: Option<agent::Client>,
    entry: Option<entry::Client>,
    task: JoinHandle<()>,
}

impl Link {
    /// Ends the connection, also one that went silent; calls in progress fail.
    pub fn close(&self) {
        self.task.abort();
        self.down.set(true);
    }

    /// Whether the connection has ended.
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The agent at the other end.
    ///
    /// # Errors
    /// When the other end is no agent.
    pub fn agent(&self) -> Result<agent::Client> {
        self.agent.clone().ok_or_else(|| self.refusal("not an agent"))
    }

    /// The entry at the other end.
    ///
    /// # Errors
    /// When the other end is no entry.
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

    fn refusal(&self, why: &str) -> Error {
        Error::Refused { address: self.address.to_string(), why: why.to_owned() }
    }
}

/// Connects to a process of ours and opens it with the token.
///
/// # Errors
/// `Connect` when it isn't there, `Refused` when it won't have us.
pub async fn dial(address: SocketAddr, token: &Token) -> Result<Link> {
    dial_within(DIAL_TIMEOUT, address, token).await
}

/// The same for a caller that tries again soon: a first packet that met a
/// machine without power is only sent again after a second.
///
/// # Errors
/// `Connect` when it isn't there, `Refused` when it won't have us.
pub async fn dial_within(limit: Duration, address: SocketAddr, token: &Token) -> Result<Link> {
    match timeout(limit, connect_and_open(address, token)).await {
        Ok(link) => link,
        Err(_) => Err(connect_error(address, "no answer in time")),
    }
}

/// Takes connections for as long as the process runs.
pub async fn serve(listener: TcpListener, door: Bootstrap) {
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(place) = room.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => handle_connection(stream, door.for_connection(), place),
            Err(e) => {
                Event::LinkLost.log(format_args!("accept failed: {e}"));
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

fn handle_connection(stream: TcpStream, door: Bootstrap, place: OwnedSemaphorePermit) {
    let opened = door.authenticated();
    let started = start_rpc(stream, Side::Server, Some(capnp_rpc::new_client(door)));
    actix::spawn(async move {
        sleep(AUTH_TIMEOUT).await;
        if !opened.get() {
            started.task.abort();
        }
        // the end of an aborted task is as good as any
        let _ = started.task.await;
        drop(place);
    });
}

async fn connect_and_open(address: SocketAddr, token: &Token) -> Result<Link> {
    let stream =
        TcpStream::connect(address).await.map_err(|e| classify_connect_error(address, &e))?;
    let started = start_rpc(stream, Side::Client, None);
    let Connection { gate, down, task } = started;
    let mut link = Link { gate, down, address, agent: None, entry: None, task };
    link.open(token).await?;
    Ok(link)
}

struct Connection {
    gate: gate::Client,
    down: Rc<Cell<bool>>,
    task: JoinHandle<()>,
}

fn start_rpc(stream: TcpStream, side: Side, gate: Option<gate::Client>) -> Connection {
    // small messages must not wait for the next one
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    let network = VatNetwork::new(
        CountedRead(read.compat()),
        CountedWrite::new(write.compat_write()),
        side,
        options,
    );
    let mut system = RpcSystem::new(Box::new(network), gate.map(|g| g.client));
    let gate = system.bootstrap(Side::Server);
    let down = Rc::new(Cell::new(false));
    let flag = down.clone();
    let task = actix::spawn(async move {
        if let Err(e) = system.await {
            log::debug!("link ended: {e}");
        }
        flag.set(true);
    });
    Connection { gate, down, task }
}

fn classify_connect_error(address: SocketAddr, error: &std::io::Error) -> Error {
    if error.kind() == std::io::ErrorKind::ConnectionRefused {
        return Error::NotListening { address: address.to_string() };
    }
    connect_error(address, &error.to_string())
}

fn connect_error(address: SocketAddr, why: &str) -> Error {
    Error::Connect { address: address.to_string(), why: why.to_owned() }
}
