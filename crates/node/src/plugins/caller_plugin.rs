//! Serves the callers' interface.

use std::sync::Arc;

use tokio::task::JoinHandle;

use crate::{
    http::{HttpFront, HttpServer},
    kernel::{KernelContext, NodePlugin, PluginEntry},
};

/// Serves the callers' interface.
struct CallerPlugin;

impl NodePlugin for CallerPlugin {
    fn name(&self) -> &'static str {
        "callers"
    }

    fn start(&self, context: &KernelContext) -> Option<JoinHandle<()>> {
        let listener = context.wiring.http.take()?;
        let front = HttpFront {
            config: Arc::clone(&context.config),
            clock: context.clock,
            runner: context.runner.clone(),
            store: Arc::clone(&context.store),
            phase: context.phase.clone(),
            handover: context.handover.clone(),
        };
        let server = HttpServer::new(listener, front.router(), context.config.limits.header);
        Some(tokio::spawn(server.run(context.closing.clone())))
    }
}

inventory::submit!(PluginEntry(&CallerPlugin));
