//! Polls the load reports of the backend servers.

use tokio::task::JoinHandle;

use crate::plugin_host::{NodePlugin, PluginContext, PluginRegistration};

/// Polls the load reports of the backend servers.
struct ReportPlugin;

impl NodePlugin for ReportPlugin {
    fn name(&self) -> &'static str {
        "reports"
    }

    fn start(&self, context: &PluginContext) -> Option<JoinHandle<()>> {
        let period = context.config.timeouts.report_poll;
        context.runner.servers.start_polls(&context.runner.control, context.clock, period);
        None
    }
}

inventory::submit!(PluginRegistration(&ReportPlugin));
