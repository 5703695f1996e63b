use std::{
    io,
    pin::Pin,
    sync::atomic::{AtomicU64, Ordering},
    task::{Context, Poll},
};

use futures::io::{AsyncRead, AsyncWrite};

static RECEIVED: AtomicU64 = AtomicU64::new(0);
static SENT: AtomicU64 = AtomicU64::new(0);

/// Bytes over all links since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub received: u64,
    pub sent: u64,
}

impl Traffic {
    pub fn now() -> Self {
        Self { received: RECEIVED.load(Ordering::Relaxed), sent: SENT.load(Ordering::Relaxed) }
    }
}

/// One half of a connection, with its bytes counted.
pub struct Counted<S>(pub S);

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        count(&RECEIVED, Pin::new(&mut self.0).poll_read(cx, buf))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        count(&SENT, Pin::new(&mut self.0).poll_write(cx, buf))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}

fn count(total: &AtomicU64, done: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(n)) = &done {
        total.fetch_add(*n as u64, Ordering::Relaxed);
    }
    done
}
