//! Keeps connections to the other entry VMs.

use tokio::task::JoinHandle;

use crate::{
    kernel::{KernelContext, NodePlugin, PluginEntry},
    peer::PeerHub,
};

/// Keeps connections to the other entry VMs.
struct PeerPlugin;

impl NodePlugin for PeerPlugin {
    fn name(&self) -> &'static str {
        "peers"
    }

    fn start(&self, context: &KernelContext) -> Option<JoinHandle<()>> {
        let listener = context.wiring.peer.take()?;
        let addresses = context.wiring.addresses.take()?;
        let control = context.runner.control.clone();
        let broadcasts = context.wiring.broadcasts.clone();
        let hub = PeerHub::new(context.identity.clone(), control, broadcasts);
        tokio::spawn(hub.run(listener, addresses));
        None
    }
}

inventory::submit!(PluginEntry(&PeerPlugin));
