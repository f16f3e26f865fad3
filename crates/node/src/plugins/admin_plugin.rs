//! Serves the HTTP API for operators.

use std::sync::Arc;

use tokio::task::JoinHandle;

use crate::{
    admin::AdminApi,
    http::HttpServer,
    plugin_host::{NodePlugin, PluginContext, PluginRegistration},
};

/// Serves the HTTP API for operators.
struct AdminPlugin;

impl NodePlugin for AdminPlugin {
    fn name(&self) -> &'static str {
        "admin"
    }

    fn start(&self, context: &PluginContext) -> Option<JoinHandle<()>> {
        let listener = context.endpoints.admin.take()?;
        let control = context.runner.control.clone();
        let api = AdminApi::new(Arc::clone(&context.config), control);
        let server = HttpServer::new(listener, api.router(), context.config.limits.header);
        Some(tokio::spawn(server.run(context.closing.clone())))
    }
}

inventory::submit!(PluginRegistration(&AdminPlugin));
