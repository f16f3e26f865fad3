//! Accepted connection that obeys the faults of its fake.

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
    ConnectionNumber, FaultSwitch,
    fault_gate::{ConnectionHalf, ConnectionVerdict},
};

/// Accepted connection of a fake.
pub struct FaultStream {
    inner: TcpStream,
    faults: Arc<FaultSwitch>,
    number: ConnectionNumber,
}

impl FaultStream {
    pub(crate) fn new(
        inner: TcpStream,
        faults: Arc<FaultSwitch>,
        number: ConnectionNumber,
    ) -> FaultStream {
        FaultStream { inner, faults, number }
    }

    fn verdict(&self, half: ConnectionHalf, cx: &mut Context<'_>) -> ConnectionVerdict {
        self.faults.gate().verdict(self.number, half, cx)
    }
}

impl Drop for FaultStream {
    fn drop(&mut self) {
        self.faults.gate().forget(self.number);
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
        match self.verdict(ConnectionHalf::Read, cx) {
            ConnectionVerdict::Pass => Pin::new(&mut self.inner).poll_read(cx, buffer),
            ConnectionVerdict::Wait | ConnectionVerdict::Discard => Poll::Pending,
            ConnectionVerdict::Reset => Poll::Ready(Err(reset_error())),
        }
    }
}

impl AsyncWrite for FaultStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.verdict(ConnectionHalf::Write, cx) {
            ConnectionVerdict::Pass => Pin::new(&mut self.inner).poll_write(cx, bytes),
            ConnectionVerdict::Wait => Poll::Pending,
            ConnectionVerdict::Discard => Poll::Ready(Ok(bytes.len())),
            ConnectionVerdict::Reset => Poll::Ready(Err(reset_error())),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.verdict(ConnectionHalf::Write, cx) {
            ConnectionVerdict::Pass => Pin::new(&mut self.inner).poll_shutdown(cx),
            ConnectionVerdict::Wait | ConnectionVerdict::Discard => Poll::Pending,
            ConnectionVerdict::Reset => Poll::Ready(Err(reset_error())),
        }
    }
}
