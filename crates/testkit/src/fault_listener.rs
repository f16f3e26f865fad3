//! Listener that is closed while its fake is dead.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::serve::Listener;
use tokio::net::TcpListener;

use crate::{ConnectionNumber, FaultInjector, fault_stream::FaultStream};

/// Pause before another attempt to accept or bind.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Listener of a fake.
pub struct FaultListener {
    inner: Option<TcpListener>,
    address: SocketAddr,
    faults: Arc<FaultInjector>,
}

impl FaultListener {
    /// Binds `address`.
    pub(crate) async fn bind(
        address: SocketAddr,
        faults: Arc<FaultInjector>,
    ) -> io::Result<FaultListener> {
        let inner = TcpListener::bind(address).await?;
        let address = inner.local_addr()?;
        Ok(FaultListener { inner: Some(inner), address, faults })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the open listener. While the fake is dead, closes the listener and waits, and
    /// afterwards binds the address again.
    async fn open_listener(&mut self) -> &TcpListener {
        let mut dead = self.faults.connections().watch_dead();
        loop {
            if *dead.borrow_and_update() {
                self.inner = None;
                // This can't fail: `self.faults` owns the sender.
                let _ = dead.changed().await;
                continue;
            }
            if self.inner.is_some() {
                break;
            }
            self.inner = TcpListener::bind(self.address).await.ok();
            if self.inner.is_none() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        self.inner.as_ref().expect("the loop ends with an open listener")
    }
}

impl Listener for FaultListener {
    type Io = FaultStream;
    type Addr = ConnectionNumber;

    async fn accept(&mut self) -> (FaultStream, ConnectionNumber) {
        let faults = Arc::clone(&self.faults);
        let mut dead = faults.connections().watch_dead();
        loop {
            let listener = self.open_listener().await;
            dead.borrow_and_update();
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = dead.changed() => continue,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            // Nagle's algorithm would hold back small events until the peer's delayed ACK.
            let _ = stream.set_nodelay(true);
            // Registered before the check, so that a concurrent `die` is not missed: either the
            // check sees it, or its `reset_all` finds the connection.
            let number = faults.connections().register();
            if *dead.borrow() {
                faults.connections().unregister(number);
                continue;
            }
            return (FaultStream::new(stream, faults, number), number);
        }
    }

    fn local_addr(&self) -> io::Result<ConnectionNumber> {
        Ok(ConnectionNumber(u64::MAX))
    }
}
