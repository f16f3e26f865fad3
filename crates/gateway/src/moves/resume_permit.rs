//! Permit to resume a generation.

use tracing::info;

use crate::{CallerRequest, GatewayContext};

/// Permit to resume a generation on an engine, taken from the retry budget of its service. A
/// generation must not be stopped for a move without it. It is used when the request is sent.
pub(crate) struct ResumePermit {
    is_return: bool,
}

impl ResumePermit {
    /// Takes a permit, unless the deployment's limit on retries is reached.
    pub(crate) fn take(context: &GatewayContext, request: &CallerRequest) -> Option<ResumePermit> {
        if context.view().take_resumption(&request.service, context.clock.now()) {
            return Some(ResumePermit { is_return: false });
        }
        info!(id = request.attempt, service = request.service, "stream: no retry left");
        None
    }

    /// Takes a permit to return to the engine at which the generation was stopped. It is counted but
    /// not denied: a stopped generation that no other engine has taken can go on only there.
    pub(crate) fn take_for_return(
        context: &GatewayContext,
        request: &CallerRequest,
    ) -> ResumePermit {
        context.view().note_resumption(&request.service, context.clock.now());
        ResumePermit { is_return: true }
    }

    /// Makes this a permit to return to the engine at which the generation was stopped, which may be
    /// leaving.
    pub(crate) fn for_return(self) -> ResumePermit {
        ResumePermit { is_return: true }
    }

    /// Returns whether this is a permit to return.
    pub(crate) fn is_return(&self) -> bool {
        self.is_return
    }
}
