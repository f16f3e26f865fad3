//! One connection between two entry VMs.

use std::time::Duration;

use dragonflycart_wire::{FrameCodec, PeerMessage, peer_message::Kind};
use futures::{SinkExt, StreamExt};
use tokio::{
    net::TcpStream,
    sync::{broadcast, mpsc},
    time::{Instant, timeout_at},
};
use tokio_util::codec::Framed;

use crate::{
    control::{ControlHandle, ControlMessage},
    peer::{PeerEvent, PeerIdentity},
};

/// Time without any message after which a connection is closed and dialled again. Heartbeats are
/// sent every second, so three in a row were lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a write. A peer that stops reading is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Replies that may be queued on one connection.
const REPLY_QUEUE: usize = 16;

/// Which end opened the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkDirection {
    /// This VM dialled. It sends all broadcasts on this connection.
    Outgoing,
    /// The peer dialled. This VM sends only replies and heartbeats.
    Incoming,
}

/// One connection between two entry VMs.
pub(crate) struct PeerLink {
    framed: Framed<TcpStream, FrameCodec>,
    direction: LinkDirection,
    control: ControlHandle,
}

impl PeerLink {
    /// Wraps a connected socket.
    pub(crate) fn new(
        socket: TcpStream,
        direction: LinkDirection,
        control: ControlHandle,
    ) -> PeerLink {
        let _ = socket.set_nodelay(true);
        PeerLink { framed: Framed::new(socket, FrameCodec::new()), direction, control }
    }

    /// Runs the connection until it fails, times out, or the process stops.
    pub(crate) async fn run(
        mut self,
        own: &PeerIdentity,
        mut broadcasts: broadcast::Receiver<PeerMessage>,
    ) {
        if !self.send(PeerMessage { kind: Some(Kind::Hello(own.hello())) }).await {
            return;
        }
        let Some(identity) = self.receive_hello().await else {
            return;
        };
        if identity.incarnation == own.incarnation {
            return;
        }
        let (reply, mut replies) = mpsc::channel(REPLY_QUEUE);
        let mut idle_deadline = Instant::now() + IDLE_TIMEOUT;
        loop {
            tokio::select! {
                received = timeout_at(idle_deadline, self.framed.next()) => {
                    let Ok(Some(Ok(message))) = received else { return };
                    idle_deadline = Instant::now() + IDLE_TIMEOUT;
                    let Some(kind) = message.kind else { continue };
                    let event = PeerEvent { identity: identity.clone(), kind, reply: reply.clone() };
                    self.control.send(ControlMessage::Peer(event)).await;
                }
                Some(message) = replies.recv() => {
                    if !self.send(message).await {
                        return;
                    }
                }
                message = broadcasts.recv() => {
                    let message = match message {
                        Ok(message) => message,
                        // Safe to skip: every broadcast is repeated or superseded later.
                        Err(broadcast::error::RecvError::Lagged(_)) => continue,
                        Err(broadcast::error::RecvError::Closed) => return,
                    };
                    if !self.sends_broadcast(&message) {
                        continue;
                    }
                    if !self.send(message).await {
                        return;
                    }
                }
            }
        }
    }

    /// Returns whether a broadcast is sent on this connection. The accepting end sends heartbeats
    /// only, so that every other broadcast reaches a peer once.
    fn sends_broadcast(&self, message: &PeerMessage) -> bool {
        match self.direction {
            LinkDirection::Outgoing => true,
            LinkDirection::Incoming => matches!(message.kind, Some(Kind::Heartbeat(_))),
        }
    }

    async fn receive_hello(&mut self) -> Option<PeerIdentity> {
        let deadline = Instant::now() + IDLE_TIMEOUT;
        let message = timeout_at(deadline, self.framed.next()).await.ok()??.ok()?;
        let Some(Kind::Hello(hello)) = message.kind else {
            return None;
        };
        PeerIdentity::from_hello(&hello)
    }

    async fn send(&mut self, message: PeerMessage) -> bool {
        matches!(tokio::time::timeout(WRITE_TIMEOUT, self.framed.send(message)).await, Ok(Ok(())))
    }
}
