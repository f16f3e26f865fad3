//! Serves the HTTP API for callers.

use std::sync::Arc;

use tokio::task::JoinHandle;

use crate::{
    http::{CallerApi, HttpServer},
    plugin_host::{NodePlugin, PluginContext, PluginRegistration},
};

/// Serves the HTTP API for callers.
struct CallerPlugin;

impl NodePlugin for CallerPlugin {
    fn name(&self) -> &'static str {
        "callers"
    }

    fn start(&self, context: &PluginContext) -> Option<JoinHandle<()>> {
        let listener = context.endpoints.http.take()?;
        let api = CallerApi {
            config: Arc::clone(&context.config),
            clock: context.clock,
            runner: context.runner.clone(),
            store: Arc::clone(&context.store),
            phase: context.phase.clone(),
            handover: context.handover.clone(),
        };
        let server = HttpServer::new(listener, api.router(), context.config.limits.header);
        Some(tokio::spawn(server.run(context.closing.clone())))
    }
}

inventory::submit!(PluginRegistration(&CallerPlugin));
