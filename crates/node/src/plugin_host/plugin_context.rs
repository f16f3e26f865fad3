//! Shared state that plug-ins are started with.

use std::sync::Arc;

use dragonflycart_settings::Config;
use tokio::sync::watch;

use crate::{
    generation::{GenerationStore, RunnerContext},
    node_clock::NodeClock,
    node_lifecycle::LifecyclePhase,
    peer::PeerIdentity,
    plugin_host::PluginEndpoints,
};

/// Shared state that plug-ins are started with.
pub(crate) struct PluginContext {
    /// Settings.
    pub(crate) config: Arc<Config>,
    /// Clocks.
    pub(crate) clock: NodeClock,
    /// Identity that this VM states to its peers.
    pub(crate) identity: PeerIdentity,
    /// Control thread, clients of the backend servers and metrics.
    pub(crate) runner: RunnerContext,
    /// Generations on this VM.
    pub(crate) store: Arc<GenerationStore>,
    /// Phase of the daemon.
    pub(crate) phase: watch::Receiver<LifecyclePhase>,
    /// Becomes true when callers must continue their streams at another VM.
    pub(crate) handover: watch::Receiver<bool>,
    /// Becomes true when the daemon shuts down.
    pub(crate) closing: watch::Receiver<bool>,
    /// Sockets and channel ends, each for one plug-in.
    pub(crate) endpoints: PluginEndpoints,
}
