use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
    task::{Context, Poll},
};

use futures::io::{AsyncRead, AsyncWrite};

static RECEIVED: AtomicU64 = AtomicU64::new(0);
static SENT: AtomicU64 = AtomicU64::new(0);
static MESSAGES: AtomicU64 = AtomicU64::new(0);
static WRITES: AtomicU64 = AtomicU64::new(0);

/// Traffic of all links since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// bytes
    pub received: u64,
    /// bytes
    pub sent: u64,
    /// messages sent
    pub messages: u64,
    /// system calls that sent bytes
    pub writes: u64,
}

impl Traffic {
    pub fn totals() -> Self {
        Self {
            received: RECEIVED.load(Ordering::Relaxed),
            sent: SENT.load(Ordering::Relaxed),
            messages: MESSAGES.load(Ordering::Relaxed),
            writes: WRITES.load(Ordering::Relaxed),
        }
    }
}

/// Counts the messages of a byte stream by their Cap'n Proto framing.
#[derive(Default)]
pub struct MessageCounter {
    header: Vec<u8>,
    /// bytes of the message body that are still to come
    body_left: usize,
}

impl MessageCounter {
    const WORD_BYTES: usize = 8;

    /// Consumes the next bytes of the stream; returns how many messages end in them.
    pub fn feed(&mut self, mut bytes: &[u8]) -> u64 {
        let mut ended = 0;
        while !bytes.is_empty() {
            let missing = if self.body_left > 0 { self.body_left } else { self.header_left() };
            let (chunk, rest) = bytes.split_at(missing.min(bytes.len()));
            bytes = rest;
            if self.body_left > 0 {
                self.body_left -= chunk.len();
            } else {
                self.header.extend_from_slice(chunk);
                if self.header_left() > 0 {
                    continue;
                }
                self.body_left = self.body_bytes();
                self.header.clear();
            }
            ended += u64::from(self.body_left == 0);
        }
        ended
    }

    /// Bytes of the header, the table of segment sizes, that are still to come.
    fn header_left(&self) -> usize {
        if self.header.len() < Self::WORD_BYTES {
            return Self::WORD_BYTES - self.header.len();
        }
        let whole = (4 + 4 * self.segments()).next_multiple_of(Self::WORD_BYTES);
        whole - self.header.len()
    }

    fn segments(&self) -> usize {
        self.header_u32(0) + 1
    }

    fn body_bytes(&self) -> usize {
        (1..=self.segments()).map(|i| self.header_u32(i) * Self::WORD_BYTES).sum()
    }

    fn header_u32(&self, i: usize) -> usize {
        let bytes = self.header.get(4 * i..4 * i + 4).and_then(|b| b.try_into().ok());
        u32::from_le_bytes(bytes.unwrap_or_default()) as usize
    }
}

/// Reading half of a connection that counts its bytes.
pub struct CountedRead<S> {
    inner: S,
    link_bytes: Rc<Cell<u64>>,
}

impl<S> CountedRead<S> {
    /// `link_bytes` counts the bytes of this connection in both directions.
    pub fn new(inner: S, link_bytes: Rc<Cell<u64>>) -> Self {
        Self { inner, link_bytes }
    }
}

/// Writing half of a connection that counts its bytes and messages.
pub struct CountedWrite<S> {
    inner: S,
    counter: MessageCounter,
    link_bytes: Rc<Cell<u64>>,
}

impl<S> CountedWrite<S> {
    /// See [`CountedRead::new`].
    pub fn new(inner: S, link_bytes: Rc<Cell<u64>>) -> Self {
        Self { inner, counter: MessageCounter::default(), link_bytes }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedRead<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.inner).poll_read(cx, buf);
        count(&RECEIVED, &self.link_bytes, done)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedWrite<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &done {
            MESSAGES.fetch_add(self.counter.feed(&buf[..*n]), Ordering::Relaxed);
            WRITES.fetch_add(1, Ordering::Relaxed);
        }
        count(&SENT, &self.link_bytes, done)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

fn count(
    total: &AtomicU64,
    link_bytes: &Cell<u64>,
    done: Poll<io::Result<usize>>,
) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(n)) = &done {
        total.fetch_add(*n as u64, Ordering::Relaxed);
        link_bytes.set(link_bytes.get() + *n as u64);
    }
    done
}
