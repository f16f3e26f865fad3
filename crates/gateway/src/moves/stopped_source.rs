//! Proof that the engine before was told to stop a generation.

use crate::{CopyResponse, GatewayContext, moves::SourceState};

/// Proof that a generation may go on elsewhere: its engine does not work on it any more, or can't be
/// told so. Each resumption needs one, so that none is sent before the engine was told.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoppedSource {
    state: SourceState,
}

impl StoppedSource {
    /// Returns the proof if the response to a final copy is one.
    pub(crate) fn after_final_copy(
        context: &GatewayContext,
        response: &CopyResponse,
    ) -> Option<StoppedSource> {
        let state = SourceState::after_final_copy(response, false);
        state.map(|state| StoppedSource::new(context, state))
    }

    /// Returns the proof for a service whose engines have no call that stops a generation.
    pub(crate) fn without_call(context: &GatewayContext) -> StoppedSource {
        StoppedSource::new(context, SourceState::NotTold)
    }

    /// Returns the proof for a generation whose memory its engine retains after it was stopped.
    pub(crate) fn after_retention(context: &GatewayContext) -> StoppedSource {
        StoppedSource::new(context, SourceState::Stopped)
    }

    pub(super) fn new(context: &GatewayContext, state: SourceState) -> StoppedSource {
        context.metrics.count_source(state.into());
        StoppedSource { state }
    }

    /// Returns what is known of the generation at the engine before.
    pub(crate) fn state(self) -> SourceState {
        self.state
    }
}
