//! Observes whether a prompt crashes its engine.

use dragonflycart_containment::{EngineRun, WRITING_PROOF};
use dragonflycart_core::{MonoTime, PromptPart};

use crate::{GatewayContext, ServerKey, containment};

/// Prompt at one engine, from the moment it is sent. An engine may crash as soon as it begins to
/// write a response, so a response that is lost before its head or its first event counts too.
pub(crate) struct PromptRun {
    engine: EngineRun,
    parts: Vec<PromptPart>,
    /// Time of the engine's first event. The head may be sent long before.
    writing_since: Option<MonoTime>,
    /// Whether the prompt was seen not to crash an engine.
    is_proven: bool,
}

impl PromptRun {
    /// Starts to observe a prompt that is about to be sent. Returns `None` if it has no parts that
    /// other prompts may share.
    pub(crate) fn start(
        context: &GatewayContext,
        server: ServerKey,
        parts: &[PromptPart],
    ) -> Option<PromptRun> {
        if parts.is_empty() {
            return None;
        }
        let engine = containment::engine_run(context, server)?;
        Some(PromptRun { engine, parts: parts.to_vec(), writing_since: None, is_proven: false })
    }

    /// Records an event of the response.
    pub(crate) fn note_event(&mut self, context: &GatewayContext) {
        let now = context.clock.now();
        let since = *self.writing_since.get_or_insert(now);
        if now.since(since) >= WRITING_PROOF {
            self.note_sound(context);
        }
    }

    /// Records that the engine survived the response.
    pub(crate) fn note_sound(&mut self, context: &GatewayContext) {
        if !std::mem::replace(&mut self.is_proven, true) {
            containment::note_sound(context, &self.parts);
        }
    }

    /// Records that the response was lost or broke off, which a crash of the engine may have caused.
    pub(crate) fn note_broken(&self, context: &GatewayContext) {
        let now = context.clock.now();
        let is_new = self.writing_since.is_none_or(|since| now.since(since) < WRITING_PROOF);
        if is_new && !self.is_proven {
            containment::note_broken(context, self.engine, &self.parts);
        }
    }

    /// Takes over what was seen of the prompt at the engine before.
    pub(crate) fn continue_from(&mut self, earlier: &PromptRun) {
        self.is_proven |= earlier.is_proven;
    }
}
