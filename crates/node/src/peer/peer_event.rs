//! Messages that peer connections pass to the control thread.

use dragonflycart_wire::{PeerMessage, peer_message::Kind};
use tokio::sync::mpsc;

use crate::peer::PeerIdentity;

/// Message received from a peer.
#[derive(Debug)]
pub(crate) struct PeerEvent {
    /// Sender.
    pub(crate) identity: PeerIdentity,
    /// Content.
    pub(crate) kind: Kind,
    /// Queue of replies on the same connection.
    pub(crate) reply: mpsc::Sender<PeerMessage>,
}
