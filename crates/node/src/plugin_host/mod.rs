//! The plug-in interface of the daemon and the code that starts the plug-ins.
//!
//! Every part that does I/O is a plug-in that registers itself with `inventory`. Nothing here names
//! a plug-in, so adding one takes a new file and its `mod` line in `plugins`.

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
