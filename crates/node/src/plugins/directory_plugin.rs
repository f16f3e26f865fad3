//! Polls the platform's list of VMs.

use dragonflycart_interfaces::{HttpVmDirectoryClient, VmDirectory};
use tokio::task::JoinHandle;

use crate::{
    control::ControlMessage,
    plugin_host::{NodePlugin, PluginContext, PluginRegistration},
};

/// Polls the platform's list of VMs.
struct DirectoryPlugin;

impl NodePlugin for DirectoryPlugin {
    fn name(&self) -> &'static str {
        "directory"
    }

    fn start(&self, context: &PluginContext) -> Option<JoinHandle<()>> {
        let directory = HttpVmDirectoryClient::new(context.config.platform.vm_list);
        let control = context.runner.control.clone();
        let period = context.config.timeouts.vm_list_poll;
        tokio::spawn(async move {
            loop {
                if let Ok(entries) = directory.list().await {
                    control.send(ControlMessage::VmList(entries)).await;
                }
                tokio::time::sleep(period).await;
            }
        });
        None
    }
}

inventory::submit!(PluginRegistration(&DirectoryPlugin));
