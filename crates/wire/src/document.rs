//! Calls that transfer a configuration document, each over a connection of its own.

use std::{future::Future, net::SocketAddr, pin::pin, time::Duration};

use base::{Name, Token};
use tokio::time::timeout;

use crate::{Error, Link, Method, Result, dial_within, text::read_name};

const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// A transfer in which no byte arrives for this long has failed.
const RECEIVE_STALL_LIMIT: Duration = Duration::from_secs(1);
/// The same for sending. Bytes in the buffers of the system count as sent, so it has
/// to cover a whole document.
const SEND_STALL_LIMIT: Duration = Duration::from_secs(5);
/// Checks for progress within a stall limit.
const STALL_TICKS: u32 = 8;
const TRANSFER_LIMIT: Duration = Duration::from_secs(30);

/// Stands for the version that a process has seen, where a peer is not to send it a
/// document unasked.
pub const SEND_NOTHING: u64 = u64::MAX;

/// A version of the fleet configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    pub version: u64,
    pub text: Name,
}

/// An entry's answer to a process that is behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fetched {
    Document(Document),
    /// the entry is sending to others; later, or from another one
    Busy,
    /// the entry has no newer version
    Missing,
}

/// Gets the configuration of an entry, if newer than the version `seen`.
///
/// # Errors
/// When the entry can't be reached, `Unsupported` if it is too old for this call.
pub async fn fetch_document(
    entry: SocketAddr,
    token: &Token,
    name: &Name,
    seen: u64,
) -> Result<Fetched> {
    let link = dial_within(DIAL_TIMEOUT, entry, token).await?;
    let fetched = while_progressing(&link, RECEIVE_STALL_LIMIT, call(&link, name, seen, None));
    let fetched = fetched.await;
    if let Ok(Fetched::Document(document)) = &fetched {
        // tells the entry that the transfer has ended; if that is lost, it finds out by itself
        let ended = call(&link, name, document.version, None);
        if let Err(e) = while_progressing(&link, RECEIVE_STALL_LIMIT, ended).await {
            log::debug!("entry {entry} was not told of the end of a transfer: {e}");
        }
    }
    link.close();
    fetched
}

/// Sends the configuration to an entry.
///
/// # Errors
/// See [`fetch_document`].
pub async fn send_document(
    entry: SocketAddr,
    token: &Token,
    name: &Name,
    document: &Document,
) -> Result<()> {
    let link = dial_within(DIAL_TIMEOUT, entry, token).await?;
    let sent = call(&link, name, document.version, Some(document));
    let sent = while_progressing(&link, SEND_STALL_LIMIT, sent).await;
    link.close();
    sent.map(|_| ())
}

async fn call(link: &Link, name: &Name, seen: u64, sent: Option<&Document>) -> Result<Fetched> {
    let mut req = link.entry()?.greet_request();
    Method::Greet.record_call();
    req.get().init_info().set_name(&**name);
    req.get().set_seen(seen);
    if let Some(document) = sent {
        req.get().get_info()?.set_version(document.version);
        req.get().set_document(&*document.text);
    }
    let res = req.send().promise.await?;
    let res = res.get()?;
    let version = res.get_version();
    if res.has_document() {
        return Ok(Fetched::Document(Document { version, text: read_name(res.get_document())? }));
    }
    Ok(if version > seen { Fetched::Busy } else { Fetched::Missing })
}

/// Waits for a call for as long as bytes cross its link.
async fn while_progressing<T>(
    link: &Link,
    stall_limit: Duration,
    call: impl Future<Output = Result<T>>,
) -> Result<T> {
    let mut call = pin!(call);
    let tick = stall_limit / STALL_TICKS;
    let waiting = async {
        let (mut bytes, mut idle) = (link.bytes(), Duration::ZERO);
        while idle < stall_limit {
            if let Ok(done) = timeout(tick, call.as_mut()).await {
                return done;
            }
            idle = if link.bytes() == bytes { idle + tick } else { Duration::ZERO };
            bytes = link.bytes();
        }
        Err(Error::Lost("no answer in time".to_owned()))
    };
    match timeout(TRANSFER_LIMIT, waiting).await {
        Ok(done) => done,
        Err(_) => Err(Error::Lost("transfer takes too long".to_owned())),
    }
}
