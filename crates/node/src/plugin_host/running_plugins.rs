//! Starts the plug-ins and waits for them to finish.

use std::collections::BTreeMap;

use log::debug;
use tokio::{sync::watch, task::JoinHandle};

use crate::plugin_host::{PluginContext, PluginRegistration};

/// The plug-ins that have been started.
pub(crate) struct RunningPlugins {
    closing: watch::Sender<bool>,
    tasks: BTreeMap<&'static str, JoinHandle<()>>,
}

impl RunningPlugins {
    /// Starts every registered plug-in. `closing` is the sender for [`PluginContext::closing`].
    pub(crate) fn start(context: &PluginContext, closing: watch::Sender<bool>) -> RunningPlugins {
        let mut plugins = BTreeMap::new();
        for entry in inventory::iter::<PluginRegistration> {
            plugins.insert(entry.0.name(), entry.0);
        }
        let mut tasks = BTreeMap::new();
        for (name, plugin) in plugins {
            debug!("daemon: starting plug-in; plugin={name}");
            if let Some(task) = plugin.start(context) {
                tasks.insert(name, task);
            }
        }
        RunningPlugins { closing, tasks }
    }

    /// Tells the plug-ins to stop and waits until they have finished their work.
    pub(crate) async fn close(self) {
        self.closing.send_replace(true);
        for (name, task) in self.tasks {
            if task.await.is_err() {
                log::error!("daemon: plug-in panicked; plugin={name}");
            }
        }
    }
}
