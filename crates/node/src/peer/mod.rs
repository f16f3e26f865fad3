//! Connections between entry VMs.

mod peer_event;
mod peer_hub;
mod peer_identity;
mod peer_link;

pub(crate) use self::{
    peer_event::PeerEvent,
    peer_hub::PeerHub,
    peer_identity::PeerIdentity,
    peer_link::{LinkDirection, PeerLink},
};
