//! Sends orders to engines for the control thread.

use std::{sync::Arc, time::Duration};

use dragonflycart_core::ServerName;
use dragonflycart_engine::{EngineError, EngineOrder, OrderOutcome};
use dragonflycart_interfaces::{WeightStore, WeightStoreError};
use dragonflycart_policy::{OrderAction, OrderCommand, OrderSendResult};
use tokio::sync::mpsc;

use crate::{
    control::{ControlHandle, ControlMessage},
    server_directory::ServerDirectory,
};

/// Order that the control thread requests to be sent.
#[derive(Debug)]
pub(crate) struct OrderTask {
    /// Engine.
    pub(crate) server: ServerName,
    /// Order.
    pub(crate) command: OrderCommand,
    /// Whether the engine will fetch weights, for which the weight store must grant a load.
    pub(crate) fetches: bool,
}

/// Result of an order.
#[derive(Debug)]
pub(crate) enum OrderResult {
    /// The engine's response, or that the order was not sent or its response was lost.
    Answered(OrderSendResult),
    /// The weight store refused the load, possibly with a time to wait. Nothing was sent.
    LoadRefused(Option<Duration>),
}

/// An order that has ended.
#[derive(Debug)]
pub(crate) struct OrderEnded {
    /// Engine.
    pub(crate) server: ServerName,
    /// Order.
    pub(crate) command: OrderCommand,
    /// Its result.
    pub(crate) result: OrderResult,
}

/// Sends orders until the control thread ends. `timeout` is the time after which an order must no
/// longer take effect.
pub(crate) async fn run_sender(
    servers: Arc<ServerDirectory>,
    weights: Arc<dyn WeightStore>,
    control: ControlHandle,
    timeout: Duration,
    mut tasks: mpsc::UnboundedReceiver<OrderTask>,
) {
    while let Some(task) = tasks.recv().await {
        let servers = Arc::clone(&servers);
        let weights = Arc::clone(&weights);
        let control = control.clone();
        tokio::spawn(async move {
            let sending = send_order(&servers, &*weights, &task);
            let result = tokio::time::timeout(timeout, sending)
                .await
                .unwrap_or(OrderResult::Answered(OrderSendResult::Lost));
            let ended = OrderEnded { server: task.server, command: task.command, result };
            control.send(ControlMessage::Order(ended)).await;
        });
    }
}

async fn send_order(
    servers: &ServerDirectory,
    weights: &dyn WeightStore,
    task: &OrderTask,
) -> OrderResult {
    let (model, version) = task.command.action.version().clone();
    if task.fetches {
        match weights.begin_load(&model, &version).await {
            Ok(()) => {}
            Err(WeightStoreError::RateLimited { retry_after }) => {
                return OrderResult::LoadRefused(Some(retry_after));
            }
            Err(WeightStoreError::Unavailable) => return OrderResult::LoadRefused(None),
        }
    }
    let Some(engine) = servers.engine(&task.server) else {
        return OrderResult::Answered(OrderSendResult::NotSent);
    };
    let order = match task.command.action {
        OrderAction::Load(_) => EngineOrder::Load { model, version },
        OrderAction::Unload(_) => EngineOrder::Unload { model, version },
    };
    OrderResult::Answered(match engine.order(order, task.command.fence).await {
        Ok(OrderOutcome::Accepted) => OrderSendResult::Accepted,
        Ok(OrderOutcome::StaleFence) => OrderSendResult::Stale,
        Err(EngineError::NotSent) => OrderSendResult::NotSent,
        Err(_) => OrderSendResult::Lost,
    })
}
