//! Interface of a plug-in.

use tokio::task::JoinHandle;

use crate::plugin_host::PluginContext;

/// Part of the daemon that does I/O.
pub(crate) trait NodePlugin: Sync {
    /// Returns the name, unique among the plug-ins. They are started in the order of their names.
    fn name(&self) -> &'static str;

    /// Starts the plug-in on the traffic threads.
    ///
    /// The returned task ends once [`PluginContext::closing`] is true and the plug-in has finished
    /// its work. A plug-in that can be stopped at any time returns `None`.
    fn start(&self, context: &PluginContext) -> Option<JoinHandle<()>>;
}

/// Registration of a plug-in, to be passed to `inventory::submit!`.
pub(crate) struct PluginRegistration(pub(crate) &'static dyn NodePlugin);

inventory::collect!(PluginRegistration);
