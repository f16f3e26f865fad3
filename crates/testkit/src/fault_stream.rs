//! Accepted connection with injected faults.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{
    ConnectionNumber, FaultInjector,
    connection_faults::{ConnectionAction, ConnectionHalf},
};

/// Accepted connection of a fake. Applies the fake's faults to each read and write.
pub struct FaultStream {
    inner: TcpStream,
    faults: Arc<FaultInjector>,
    number: ConnectionNumber,
}

impl FaultStream {
    pub(crate) fn new(
        inner: TcpStream,
        faults: Arc<FaultInjector>,
        number: ConnectionNumber,
    ) -> FaultStream {
        FaultStream { inner, faults, number }
    }

    fn next_action(&self, half: ConnectionHalf, cx: &mut Context<'_>) -> ConnectionAction {
        self.faults.connections().next_action(self.number, half, cx)
    }
}

impl Drop for FaultStream {
    fn drop(&mut self) {
        self.faults.connections().unregister(self.number);
    }
}

fn reset_error() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionReset)
}

impl AsyncRead for FaultStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.next_action(ConnectionHalf::Read, cx) {
            ConnectionAction::Pass => Pin::new(&mut self.inner).poll_read(cx, buffer),
            ConnectionAction::Wait | ConnectionAction::Discard => Poll::Pending,
            ConnectionAction::Reset => Poll::Ready(Err(reset_error())),
        }
    }
}

impl AsyncWrite for FaultStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.next_action(ConnectionHalf::Write, cx) {
            ConnectionAction::Pass => Pin::new(&mut self.inner).poll_write(cx, bytes),
            ConnectionAction::Wait => Poll::Pending,
            ConnectionAction::Discard => Poll::Ready(Ok(bytes.len())),
            ConnectionAction::Reset => Poll::Ready(Err(reset_error())),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.next_action(ConnectionHalf::Write, cx) {
            ConnectionAction::Pass => Pin::new(&mut self.inner).poll_shutdown(cx),
            ConnectionAction::Wait | ConnectionAction::Discard => Poll::Pending,
            ConnectionAction::Reset => Poll::Ready(Err(reset_error())),
        }
    }
}
