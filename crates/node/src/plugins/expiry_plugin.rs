//! Removes generations whose retention time has passed.

use std::{sync::Arc, time::Duration};

use tokio::task::JoinHandle;

use crate::plugin_host::{NodePlugin, PluginContext, PluginRegistration};

/// Interval between two removals of expired generations.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

/// Removes generations whose retention time has passed.
struct ExpiryPlugin;

impl NodePlugin for ExpiryPlugin {
    fn name(&self) -> &'static str {
        "expiry"
    }

    fn start(&self, context: &PluginContext) -> Option<JoinHandle<()>> {
        let store = Arc::clone(&context.store);
        let clock = context.clock;
        let retention = context.config.timeouts.stream_retention;
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(EXPIRE_PERIOD).await;
                store.expire(clock.now(), retention);
            }
        });
        None
    }
}

inventory::submit!(PluginRegistration(&ExpiryPlugin));
