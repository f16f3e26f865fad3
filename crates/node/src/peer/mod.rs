//! Connections between entry VMs.

mod link_identity;
mod peer_event;
mod peer_hub;
mod peer_link;

pub(crate) use self::{
    link_identity::LinkIdentity,
    peer_event::PeerEvent,
    peer_hub::PeerHub,
    peer_link::{LinkDirection, PeerLink},
};
