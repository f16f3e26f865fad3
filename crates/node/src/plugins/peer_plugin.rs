//! Maintains the connections to the other entry VMs.

use tokio::task::JoinHandle;

use crate::{
    peer::PeerHub,
    plugin_host::{NodePlugin, PluginContext, PluginRegistration},
};

/// Maintains the connections to the other entry VMs.
struct PeerPlugin;

impl NodePlugin for PeerPlugin {
    fn name(&self) -> &'static str {
        "peers"
    }

    fn start(&self, context: &PluginContext) -> Option<JoinHandle<()>> {
        let listener = context.endpoints.peer.take()?;
        let addresses = context.endpoints.addresses.take()?;
        let control = context.runner.control.clone();
        let broadcasts = context.endpoints.broadcasts.clone();
        let hub = PeerHub::new(context.identity.clone(), control, broadcasts);
        tokio::spawn(hub.run(listener, addresses));
        None
    }
}

inventory::submit!(PluginRegistration(&PeerPlugin));
