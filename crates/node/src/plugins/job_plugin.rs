//! Runs deferred generations.

use std::sync::Arc;

use tokio::task::JoinHandle;

use crate::{
    job::run_worker,
    kernel::{KernelContext, NodePlugin, PluginEntry},
};

/// Runs deferred generations.
struct JobPlugin;

impl NodePlugin for JobPlugin {
    fn name(&self) -> &'static str {
        "jobs"
    }

    fn start(&self, context: &KernelContext) -> Option<JoinHandle<()>> {
        let orders = context.wiring.jobs.take()?;
        let store = Arc::clone(&context.store);
        tokio::spawn(run_worker(context.runner.clone(), store, context.clock, orders));
        None
    }
}

inventory::submit!(PluginEntry(&JobPlugin));
