//! A connection whose reader and writer is a library.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::Account;

/// A connection that counts what it has read since its last answer. Once its account is closed, reads and
/// writes fail.
#[derive(Debug)]
pub struct Metered {
    socket: TcpStream,
    account: Arc<Account>,
    /// Bytes read since the last write.
    unanswered: usize,
}

impl Metered {
    /// Keeps the account of a connection.
    pub fn new(socket: TcpStream, account: Arc<Account>) -> Self {
        Self {
            socket,
            account,
            unanswered: 0,
        }
    }

    fn check(&self, context: &mut Context<'_>) -> io::Result<()> {
        match self.account.poll_closed(context) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionAborted.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(context)?;
        if self.account.must_wait(self.unanswered) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        if read > 0 {
            self.unanswered += read;
            self.account.hold(self.unanswered);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        let written = ready!(Pin::new(&mut self.socket).poll_write(context, bytes))?;
        self.unanswered = 0;
        self.account.settle();
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
