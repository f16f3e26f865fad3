//! Sends orders to engines.

use std::sync::Arc;

use dragonflycart_interfaces::HttpWeightStoreClient;
use tokio::task::JoinHandle;

use crate::{
    order_sender::run_sender,
    plugin_host::{NodePlugin, PluginContext, PluginRegistration},
};

/// Sends orders to engines.
struct OrderPlugin;

impl NodePlugin for OrderPlugin {
    fn name(&self) -> &'static str {
        "orders"
    }

    fn start(&self, context: &PluginContext) -> Option<JoinHandle<()>> {
        let tasks = context.endpoints.orders.take()?;
        let weights = Arc::new(HttpWeightStoreClient::new(context.config.platform.weight_store));
        let servers = Arc::clone(&context.runner.servers);
        let control = context.runner.control.clone();
        let timeout = context.config.timeouts.order;
        tokio::spawn(run_sender(servers, weights, control, timeout, tasks));
        None
    }
}

inventory::submit!(PluginRegistration(&OrderPlugin));
