//! Kernel of the daemon and the interface of its plug-ins.
//!
//! Everything that does I/O is a plug-in that registers itself. The kernel starts them all around
//! the control thread and knows none of them, so a part can be added in one file.

mod node_plugin;
mod plugin_context;
mod plugin_endpoints;
mod running_plugins;

pub(crate) use self::{
    node_plugin::{NodePlugin, PluginRegistration},
    plugin_context::PluginContext,
    plugin_endpoints::{PluginEndpoints, TakeOnce},
    running_plugins::RunningPlugins,
};
