//! Ends of channels and sockets that exist once.

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

/// Value that one plug-in takes.
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

/// Ends of channels and sockets that exist once.
pub(crate) struct PluginEndpoints {
    /// Socket for callers.
    pub(crate) http: TakeOnce<TcpListener>,
    /// Socket for operators.
    pub(crate) admin: TakeOnce<TcpListener>,
    /// Socket for peers.
    pub(crate) peer: TakeOnce<TcpListener>,
    /// Addresses of the peers to keep connections to.
    pub(crate) addresses: TakeOnce<watch::Receiver<BTreeSet<SocketAddr>>>,
    /// Appends that the control thread wants.
    pub(crate) appends: TakeOnce<mpsc::UnboundedReceiver<AppendRequest>>,
    /// Orders to engines that the control thread wants to be sent.
    pub(crate) orders: TakeOnce<mpsc::UnboundedReceiver<OrderTask>>,
    /// Attempts of deferred generations to run.
    pub(crate) jobs: TakeOnce<mpsc::UnboundedReceiver<JobAttempt>>,
    /// Messages to all peers.
    pub(crate) broadcasts: broadcast::Sender<PeerMessage>,
}
