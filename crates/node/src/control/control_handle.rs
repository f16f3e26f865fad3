//! Handle to the control thread.

use dragonflycart_core::ServiceError;
use dragonflycart_policy::{RequestTicket, TokenProgress};
use tokio::sync::{mpsc, oneshot};

use crate::control::{
    AttemptReport, CallPlacementRequest, ControlMessage, GenerationPlacementRequest,
    PlacedGeneration, PlacementTicket, control_message::control_gone,
};

/// Handle that sends messages to the control thread.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandle {
    messages: mpsc::Sender<ControlMessage>,
}

impl ControlHandle {
    /// Creates a handle that sends to `messages`.
    pub(crate) fn new(messages: mpsc::Sender<ControlMessage>) -> ControlHandle {
        ControlHandle { messages }
    }

    /// Submits a generation to the placement.
    ///
    /// # Errors
    ///
    /// An error if the model is unknown or the control thread has ended.
    pub(crate) async fn place_generation(
        &self,
        ask: GenerationPlacementRequest,
    ) -> Result<PlacedGeneration, ServiceError> {
        self.ask(|reply| ControlMessage::PlaceGeneration(ask, reply)).await?
    }

    /// Submits a call to a plain service to the placement.
    ///
    /// # Errors
    ///
    /// An error if the control thread has ended.
    pub(crate) async fn place_call(
        &self,
        ask: CallPlacementRequest,
    ) -> Result<PlacementTicket, ServiceError> {
        self.ask(|reply| ControlMessage::PlaceCall(ask, reply)).await
    }

    /// Reports the total number of tokens received. The report is dropped if the queue of the
    /// control thread is full, since the next one replaces it.
    pub(crate) fn progress(&self, ticket: RequestTicket, tokens: u64) {
        let progress = TokenProgress { ticket, tokens: tokens as u32 };
        let _ = self.messages.try_send(ControlMessage::Progress(progress));
    }

    /// Reports the end of an attempt.
    pub(crate) async fn report_attempt(&self, ticket: RequestTicket, report: AttemptReport) {
        self.send(ControlMessage::Attempt(ticket, report)).await;
    }

    /// Sends a message. The message is dropped if the control thread has ended.
    pub(crate) async fn send(&self, message: ControlMessage) {
        let _ = self.messages.send(message).await;
    }

    /// Sends a message with a reply channel and waits for the reply.
    ///
    /// # Errors
    ///
    /// An error if the control thread has ended.
    pub(crate) async fn ask<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<T>) -> ControlMessage,
    ) -> Result<T, ServiceError> {
        let (reply, answer) = oneshot::channel();
        self.messages.send(build(reply)).await.map_err(|_| control_gone())?;
        answer.await.map_err(|_| control_gone())
    }
}
