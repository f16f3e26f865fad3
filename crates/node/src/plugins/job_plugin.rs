//! Runs attempts of deferred generations.

use std::sync::Arc;

use tokio::task::JoinHandle;

use crate::{
    job::run_worker,
    plugin_host::{NodePlugin, PluginContext, PluginRegistration},
};

/// Runs attempts of deferred generations.
struct JobPlugin;

impl NodePlugin for JobPlugin {
    fn name(&self) -> &'static str {
        "jobs"
    }

    fn start(&self, context: &PluginContext) -> Option<JoinHandle<()>> {
        let attempts = context.endpoints.jobs.take()?;
        let store = Arc::clone(&context.store);
        let closing = context.closing.clone();
        let worker = run_worker(context.runner.clone(), store, context.clock, attempts, closing);
        Some(tokio::spawn(worker))
    }
}

inventory::submit!(PluginRegistration(&JobPlugin));
