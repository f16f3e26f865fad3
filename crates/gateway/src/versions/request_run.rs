//! Records the result of a request at a server.

use std::{sync::Arc, time::Duration};

use crate::{GatewayContext, RunEnd, RunKey, ServerKey};

/// One request at one server, from the moment it is sent to its result. Each request that is sent to
/// a server has one, so that no result is left out of the comparison of versions. A run that is
/// dropped ends as [`RunEnd::Abandoned`], for example because the request's task was cancelled.
pub(crate) struct RequestRun {
    context: Arc<GatewayContext>,
    key: RunKey,
    end: RunEnd,
}

impl RequestRun {
    /// Starts the run of a request of `route` that is about to be sent.
    pub(crate) fn start(
        context: &Arc<GatewayContext>,
        server: ServerKey,
        route: &str,
    ) -> RequestRun {
        let now = context.clock.now();
        let key = context.view().start_run(server, route, now);
        RequestRun { context: Arc::clone(context), key, end: RunEnd::Abandoned }
    }

    /// Records that the response has started. For a stream, this is its first event.
    pub(crate) fn note_started(&self) {
        let now = self.context.clock.now();
        self.context.view().note_run_started(self.key, now);
    }

    /// Records the average pause between the first events of a stream.
    pub(crate) fn note_pause(&self, pause: Duration) {
        self.context.view().note_run_pause(self.key, pause);
    }

    /// Records that the run failed, although the request may go on elsewhere.
    pub(crate) fn note_failure(&self) {
        let now = self.context.clock.now();
        self.context.view().note_run_failure(self.key, now);
    }

    /// Ends the run.
    pub(crate) fn close(mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for RequestRun {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        self.context.view().end_run(self.key, self.end, now);
    }
}
