//! Serves the administration API.

use std::sync::Arc;

use tokio::task::JoinHandle;

use crate::{
    admin::AdminFront,
    http::HttpServer,
    kernel::{KernelContext, NodePlugin, PluginEntry},
};

/// Serves the administration API.
struct AdminPlugin;

impl NodePlugin for AdminPlugin {
    fn name(&self) -> &'static str {
        "admin"
    }

    fn start(&self, context: &KernelContext) -> Option<JoinHandle<()>> {
        let listener = context.wiring.admin.take()?;
        let control = context.runner.control.clone();
        let front = AdminFront::new(Arc::clone(&context.config), control);
        let server = HttpServer::new(listener, front.router(), context.config.limits.header);
        Some(tokio::spawn(server.run(context.closing.clone())))
    }
}

inventory::submit!(PluginEntry(&AdminPlugin));
