//! Tells the ledger of crashes what this VM observes, and logs what it concludes.

use dragonflycart_containment::{EngineRun, LedgerChange};
use dragonflycart_core::PromptPart;
use tracing::{info, warn};

use crate::{GatewayContext, ServerKey};

/// Records that the response to a prompt with these parts was lost or broke off, before or shortly
/// after the engine began to write it.
pub(super) fn note_broken(context: &GatewayContext, engine: EngineRun, parts: &[PromptPart]) {
    let changes = context.crashes().note_break(engine, parts, context.clock.now());
    publish(context, &changes, None);
}

/// Records that an engine ended without notice.
pub(super) fn note_engine_end(context: &GatewayContext, server: ServerKey) {
    let Some(engine) = engine_run(context, server) else { return };
    let changes = context.crashes().note_engine_end(engine, context.clock.now());
    publish(context, &changes, None);
}

/// Records that a prompt with these parts does not crash its engine.
pub(super) fn note_sound(context: &GatewayContext, parts: &[PromptPart]) {
    let changes = context.crashes().note_sound(parts, context.clock.now());
    publish(context, &changes, None);
}

/// Returns the identity of a server's process.
pub(super) fn engine_run(context: &GatewayContext, server: ServerKey) -> Option<EngineRun> {
    let view = context.view();
    let state = view.server(server)?;
    Some(EngineRun::new(&state.id, state.record.started_at_ms))
}

/// Logs what the ledger concluded, and lets the peers know. `peer` is the address of the VM whose
/// report led to it.
pub(super) fn publish(context: &GatewayContext, changes: &[LedgerChange], peer: Option<&str>) {
    let (has_news, counts) = {
        let mut crashes = context.crashes();
        (crashes.take_news(), crashes.counts())
    };
    if has_news {
        context.evidence_changes.notify_one();
    }
    if changes.is_empty() {
        return;
    }
    context.metrics.contained_parts.set(counts.0 as i64);
    context.metrics.suspect_parts.set(counts.1 as i64);
    for change in changes {
        match change {
            LedgerChange::Suspected { part, crashes } => {
                info!(%part, crashes, peer, "prompts: part suspected");
            }
            LedgerChange::Contained { part, crashes } => {
                warn!(%part, crashes, peer, "prompts: part contained");
            }
            LedgerChange::Cleared { part } => info!(%part, peer, "prompts: part cleared"),
            LedgerChange::Forgotten { part } => info!(%part, "prompts: part forgotten"),
        }
    }
}
