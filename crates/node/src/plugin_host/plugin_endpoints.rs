//! Sockets and channel ends that plug-ins take over.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use dragonflycart_wire::PeerMessage;
use tokio::{
    net::TcpListener,
    sync::{broadcast, mpsc, watch},
};

use crate::{job::JobAttempt, log_appender::AppendRequest, order_sender::OrderTask};

/// Value that can be taken out once.
pub(crate) struct TakeOnce<T>(Mutex<Option<T>>);

impl<T> TakeOnce<T> {
    /// Wraps a value.
    pub(crate) fn new(value: T) -> TakeOnce<T> {
        TakeOnce(Mutex::new(Some(value)))
    }

    /// Returns the value the first time, then `None`.
    pub(crate) fn take(&self) -> Option<T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Sockets and channel ends, each for one plug-in.
pub(crate) struct PluginEndpoints {
    /// Listening socket for callers.
    pub(crate) http: TakeOnce<TcpListener>,
    /// Listening socket for operators.
    pub(crate) admin: TakeOnce<TcpListener>,
    /// Listening socket for peers.
    pub(crate) peer: TakeOnce<TcpListener>,
    /// Addresses of the peers to stay connected to.
    pub(crate) addresses: TakeOnce<watch::Receiver<BTreeSet<SocketAddr>>>,
    /// Appends requested by the control thread.
    pub(crate) appends: TakeOnce<mpsc::UnboundedReceiver<AppendRequest>>,
    /// Orders to engines, issued by the control thread.
    pub(crate) orders: TakeOnce<mpsc::UnboundedReceiver<OrderTask>>,
    /// Attempts of deferred generations to run.
    pub(crate) jobs: TakeOnce<mpsc::UnboundedReceiver<JobAttempt>>,
    /// Messages sent to all peers.
    pub(crate) broadcasts: broadcast::Sender<PeerMessage>,
}
