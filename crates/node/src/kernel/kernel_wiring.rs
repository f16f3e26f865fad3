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

use crate::{job::JobOrder, log_appender::AppendOrder, order_sender::OrderTask};

/// Value that one plug-in takes.
pub(crate) struct OneUse<T>(Mutex<Option<T>>);

impl<T> OneUse<T> {
    /// Wraps a value.
    pub(crate) fn new(value: T) -> OneUse<T> {
        OneUse(Mutex::new(Some(value)))
    }

    /// Returns the value the first time, then `None`.
    pub(crate) fn take(&self) -> Option<T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Ends of channels and sockets that exist once.
pub(crate) struct KernelWiring {
    /// Socket for callers.
    pub(crate) http: OneUse<TcpListener>,
    /// Socket for operators.
    pub(crate) admin: OneUse<TcpListener>,
    /// Socket for peers.
    pub(crate) peer: OneUse<TcpListener>,
    /// Addresses of the peers to keep connections to.
    pub(crate) addresses: OneUse<watch::Receiver<BTreeSet<SocketAddr>>>,
    /// Appends that the control thread wants.
    pub(crate) appends: OneUse<mpsc::UnboundedReceiver<AppendOrder>>,
    /// Orders to engines that the control thread wants to be sent.
    pub(crate) orders: OneUse<mpsc::UnboundedReceiver<OrderTask>>,
    /// Attempts of deferred generations to run.
    pub(crate) jobs: OneUse<mpsc::UnboundedReceiver<JobOrder>>,
    /// Messages to all peers.
    pub(crate) broadcasts: broadcast::Sender<PeerMessage>,
}
