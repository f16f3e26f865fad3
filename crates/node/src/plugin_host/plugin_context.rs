//! What plug-ins work with.

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

/// What plug-ins work with.
pub(crate) struct PluginContext {
    /// Settings.
    pub(crate) config: Arc<Config>,
    /// Clocks.
    pub(crate) clock: NodeClock,
    /// Identity towards peers.
    pub(crate) identity: PeerIdentity,
    /// Control thread, clients of the backend servers and metrics.
    pub(crate) runner: RunnerContext,
    /// Generations on this VM.
    pub(crate) store: Arc<GenerationStore>,
    /// Phase of the daemon.
    pub(crate) phase: watch::Receiver<LifecyclePhase>,
    /// Becomes true when callers must continue their streams at another VM.
    pub(crate) handover: watch::Receiver<bool>,
    /// Becomes true when the daemon ends.
    pub(crate) closing: watch::Receiver<bool>,
    /// Ends of channels and sockets that exist once.
    pub(crate) endpoints: PluginEndpoints,
}
