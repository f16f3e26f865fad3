//! Starts the plug-ins and waits for their end.

use std::collections::BTreeMap;

use log::debug;
use tokio::{sync::watch, task::JoinHandle};

use crate::plugin_host::{PluginContext, PluginRegistration};

/// Running plug-ins.
pub(crate) struct RunningPlugins {
    closing: watch::Sender<bool>,
    tasks: BTreeMap<&'static str, JoinHandle<()>>,
}

impl RunningPlugins {
    /// Starts every registered plug-in. `closing` is the sender behind [`PluginContext::closing`].
    pub(crate) fn start(context: &PluginContext, closing: watch::Sender<bool>) -> RunningPlugins {
        let mut plugins = BTreeMap::new();
        for entry in inventory::iter::<PluginRegistration> {
            plugins.insert(entry.0.name(), entry.0);
        }
        let mut tasks = BTreeMap::new();
        for (name, plugin) in plugins {
            debug!("daemon: plug-in starts; plugin={name}");
            if let Some(task) = plugin.start(context) {
                tasks.insert(name, task);
            }
        }
        RunningPlugins { closing, tasks }
    }

    /// Asks the plug-ins to end and waits until they have finished their work.
    pub(crate) async fn close(self) {
        self.closing.send_replace(true);
        for (name, task) in self.tasks {
            if task.await.is_err() {
                log::error!("daemon: plug-in ended with a panic; plugin={name}");
            }
        }
    }
}
