//! Interface of a plug-in.

use tokio::task::JoinHandle;

use crate::plugin_host::PluginContext;

/// Part of the daemon that does I/O.
pub(crate) trait NodePlugin: Sync {
    /// Returns the name, unique among the plug-ins. They are started in the order of their names.
    fn name(&self) -> &'static str;

    /// Starts the plug-in on the traffic threads. The returned task ends after
    /// [`PluginContext::closing`] became true and the plug-in has finished its work; a plug-in
    /// without work to finish returns `None`.
    fn start(&self, context: &PluginContext) -> Option<JoinHandle<()>>;
}

/// Entry by which a plug-in registers itself with `inventory::submit!`.
pub(crate) struct PluginRegistration(pub(crate) &'static dyn NodePlugin);

inventory::collect!(PluginRegistration);
