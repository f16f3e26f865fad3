//! Reads all topics of the log service and appends to them.

use std::sync::Arc;

use dragonflycart_interfaces::{HttpLogClient, LogService, LogTopic};
use strum::IntoEnumIterator;
use tokio::{sync::mpsc, task::JoinHandle};

use crate::{
    control::ControlMessage,
    log_appender::run_appender,
    log_tailer::LogTailer,
    plugin_host::{NodePlugin, PluginContext, PluginRegistration},
};

/// Capacity of the queue of tail events to the control thread.
const TAIL_QUEUE: usize = 64;

/// Reads all topics of the log service and appends to them.
struct LogPlugin;

impl NodePlugin for LogPlugin {
    fn name(&self) -> &'static str {
        "log"
    }

    fn start(&self, context: &PluginContext) -> Option<JoinHandle<()>> {
        let service: Arc<dyn LogService> =
            Arc::new(HttpLogClient::new(context.config.platform.log));
        let (events, mut tail) = mpsc::channel(TAIL_QUEUE);
        for topic in LogTopic::iter() {
            let tailer = LogTailer::new(Arc::clone(&service), topic, events.clone());
            tokio::spawn(tailer.run());
        }
        let control = context.runner.control.clone();
        tokio::spawn(async move {
            while let Some(event) = tail.recv().await {
                control.send(ControlMessage::Tail(event)).await;
            }
        });
        let requests = context.endpoints.appends.take()?;
        tokio::spawn(run_appender(service, context.runner.control.clone(), requests));
        None
    }
}

inventory::submit!(PluginRegistration(&LogPlugin));
