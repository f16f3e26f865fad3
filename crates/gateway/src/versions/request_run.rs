//! Records the result of a request at a server.

use std::{sync::Arc, time::Duration};

use dragonflycart_capacity::{PauseWindow, RunningLoad};

use crate::{CallerRequest, GatewayContext, RunEnd, RunKey, ServerKey, containment::PromptRun};

/// One request at one server, from the moment it is sent to its result. Each request that is sent to
/// a server has one, so that no result is left out of the comparison of versions, and no lost
/// response out of the evidence about prompts that crash engines. A run that is dropped ends as
/// [`RunEnd::Abandoned`], for example because the request's task was cancelled.
pub(crate) struct RequestRun {
    context: Arc<GatewayContext>,
    key: RunKey,
    end: RunEnd,
    prompt: Option<PromptRun>,
    pauses: PauseWindow,
    /// Team whose usage the run counts for, unless it resumes a stream that was counted before.
    team: Option<String>,
}

impl RequestRun {
    /// Starts the run of a request that is about to be sent. `load` is the load of the server with the
    /// request, unless its prompt needs not be read there.
    pub(crate) fn start(
        context: &Arc<GatewayContext>,
        server: ServerKey,
        request: &CallerRequest,
        load: Option<RunningLoad>,
    ) -> RequestRun {
        let now = context.clock.now();
        let key = {
            let mut view = context.view();
            let key = view.start_run(server, &request.route.name, now);
            if let Some(load) = load {
                view.note_run_load(key, load);
            }
            key
        };
        let prompt = PromptRun::start(context, server, &request.prompt_parts);
        let team = request.team.clone().filter(|_| request.last_event.is_none());
        RequestRun {
            context: Arc::clone(context),
            key,
            end: RunEnd::Abandoned,
            prompt,
            pauses: PauseWindow::default(),
            team,
        }
    }

    /// Records that the response has started. For a stream, this is its first event.
    pub(crate) fn note_started(&self) {
        let now = self.context.clock.now();
        self.context.view().note_run_started(self.key, now);
        self.context.count_use(self.team.as_deref());
    }

    /// Records an event of a stream.
    pub(crate) fn note_event(&mut self) {
        if let Some(prompt) = &mut self.prompt {
            prompt.note_event(&self.context);
        }
        let now = self.context.clock.now();
        if let Some(sample) = self.pauses.note_event(now) {
            self.context.view().note_run_pauses(self.key, sample, now);
        }
    }

    /// Records that the server survived the request.
    pub(crate) fn note_survived(&mut self) {
        if let Some(prompt) = &mut self.prompt {
            prompt.note_sound(&self.context);
        }
    }

    /// Leaves the run out of the usage of its team, because an earlier run of the stream was
    /// counted.
    pub(crate) fn skip_use(&mut self) {
        self.team = None;
    }

    /// Takes over what was seen of the request's prompt at the server before.
    pub(crate) fn continue_from(&mut self, earlier: &RequestRun) {
        if let (Some(prompt), Some(earlier)) = (&mut self.prompt, &earlier.prompt) {
            prompt.continue_from(earlier);
        }
    }

    /// Records the average pause between the first events of a stream.
    pub(crate) fn note_pause(&self, pause: Duration) {
        self.context.view().note_run_pause(self.key, pause);
    }

    /// Records that the run failed, although the request may go on elsewhere.
    pub(crate) fn note_failure(&self) {
        let now = self.context.clock.now();
        self.context.view().note_run_failure(self.key, now);
        self.note_broken();
    }

    fn note_broken(&self) {
        if let Some(prompt) = &self.prompt {
            prompt.note_broken(&self.context);
        }
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
        if self.end == RunEnd::Failed {
            self.note_broken();
        }
    }
}
