//! Signals between a stream and a move of its generation.

use std::sync::{Arc, OnceLock, atomic::AtomicBool};

use tokio::sync::watch;

use crate::moves::{SourceStop, StopRequest};

/// Signals between a stream's relay and a move of its generation.
#[derive(Debug, Clone)]
pub(crate) struct MoveSignals {
    /// Tells the relay that the engine is asked to stop the generation.
    pub(crate) stop: StopRequest,
    /// Stop of a generation whose response was lost, once it was begun. A stream that stays at its
    /// engine may need its outcome later.
    pub(crate) source_stop: Arc<OnceLock<SourceStop>>,
    /// Whether the engine has not ended its response.
    pub(crate) is_response_open: Arc<AtomicBool>,
    is_lost: watch::Receiver<bool>,
    has_progress: watch::Receiver<bool>,
}

impl MoveSignals {
    /// Builds the signals of a move. `is_lost` tells the move whether the engine's response was lost,
    /// and `has_progress` whether a stream that had stalled got an event since.
    pub(crate) fn new(
        stop: &StopRequest,
        source_stop: &Arc<OnceLock<SourceStop>>,
        is_response_open: &Arc<AtomicBool>,
        is_lost: watch::Receiver<bool>,
        has_progress: watch::Receiver<bool>,
    ) -> MoveSignals {
        MoveSignals {
            stop: stop.clone(),
            source_stop: Arc::clone(source_stop),
            is_response_open: Arc::clone(is_response_open),
            is_lost,
            has_progress,
        }
    }

    /// Waits until the engine's response was lost.
    pub(crate) async fn engine_lost(&self) {
        wait_true(self.is_lost.clone()).await;
    }

    /// Waits until a stream that had stalled gets an event from its engine.
    pub(crate) async fn progressed(&self) {
        wait_true(self.has_progress.clone()).await;
    }
}

async fn wait_true(mut signal: watch::Receiver<bool>) {
    // The sender is dropped if the stream has ended, which the move learns in other ways.
    if signal.wait_for(|is_set| *is_set).await.is_err() {
        std::future::pending::<()>().await;
    }
}
