//! Asks the backend servers for their load.

use tokio::task::JoinHandle;

use crate::kernel::{KernelContext, NodePlugin, PluginEntry};

/// Asks the backend servers for their load.
struct ReportPlugin;

impl NodePlugin for ReportPlugin {
    fn name(&self) -> &'static str {
        "reports"
    }

    fn start(&self, context: &KernelContext) -> Option<JoinHandle<()>> {
        let period = context.config.timeouts.report_poll;
        context.runner.servers.start_polls(&context.runner.control, context.clock, period);
        None
    }
}

inventory::submit!(PluginEntry(&ReportPlugin));
