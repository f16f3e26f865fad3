//! Accepts and dials peer connections.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dragonflycart_wire::PeerMessage;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{broadcast, watch},
    task::JoinHandle,
};

use crate::{
    control::ControlHandle,
    peer::{LinkDirection, PeerIdentity, PeerLink},
};

/// Timeout for opening a TCP connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before connecting to the same peer again. Also the delay after a failed accept.
const REDIAL_DELAY: Duration = Duration::from_millis(500);

/// Keeps one outgoing connection to each known peer and serves the incoming ones.
pub(crate) struct PeerHub {
    own: Arc<PeerIdentity>,
    control: ControlHandle,
    broadcasts: broadcast::Sender<PeerMessage>,
    dialers: BTreeMap<SocketAddr, JoinHandle<()>>,
}

impl PeerHub {
    /// Builds a hub without connections.
    pub(crate) fn new(
        own: PeerIdentity,
        control: ControlHandle,
        broadcasts: broadcast::Sender<PeerMessage>,
    ) -> PeerHub {
        PeerHub { own: Arc::new(own), control, broadcasts, dialers: BTreeMap::new() }
    }

    /// Serves incoming connections and dials the peers in `addresses` as the set changes.
    pub(crate) async fn run(
        mut self,
        listener: TcpListener,
        mut addresses: watch::Receiver<BTreeSet<SocketAddr>>,
    ) {
        self.update_dialers(&addresses.borrow_and_update().clone());
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((socket, _)) = accepted else {
                        // For example out of file descriptors; avoid a busy loop.
                        tokio::time::sleep(REDIAL_DELAY).await;
                        continue;
                    };
                    self.serve(socket);
                }
                changed = addresses.changed() => {
                    if changed.is_err() {
                        self.close();
                        return;
                    }
                    self.update_dialers(&addresses.borrow_and_update().clone());
                }
            }
        }
    }

    fn serve(&self, socket: TcpStream) {
        let link = PeerLink::new(socket, LinkDirection::Incoming, self.control.clone());
        let own = Arc::clone(&self.own);
        let broadcasts = self.broadcasts.subscribe();
        tokio::spawn(async move { link.run(&own, broadcasts).await });
    }

    fn update_dialers(&mut self, addresses: &BTreeSet<SocketAddr>) {
        self.dialers.retain(|address, dialer| {
            let keep = addresses.contains(address);
            if !keep {
                dialer.abort();
            }
            keep
        });
        for address in addresses {
            if self.dialers.contains_key(address) || address.to_string() == self.own.address {
                continue;
            }
            let own = Arc::clone(&self.own);
            let control = self.control.clone();
            let broadcasts = self.broadcasts.clone();
            let dialer = tokio::spawn(dial_forever(*address, own, control, broadcasts));
            self.dialers.insert(*address, dialer);
        }
    }

    /// Stops all tasks that dial peers.
    fn close(self) {
        for dialer in self.dialers.into_values() {
            dialer.abort();
        }
    }
}

async fn dial_forever(
    address: SocketAddr,
    own: Arc<PeerIdentity>,
    control: ControlHandle,
    broadcasts: broadcast::Sender<PeerMessage>,
) {
    loop {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Ok(socket)) = connected {
            let link = PeerLink::new(socket, LinkDirection::Outgoing, control.clone());
            link.run(&own, broadcasts.subscribe()).await;
        }
        tokio::time::sleep(REDIAL_DELAY).await;
    }
}
