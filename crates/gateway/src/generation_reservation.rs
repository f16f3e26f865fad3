//! Reserved load of one generation.

use std::{collections::BTreeSet, sync::Arc};

use tracing::info;

use crate::{CallerRequest, GatewayContext, ServerKey, ServerReservation};

/// Minimum expected output for a backup. A shorter generation ends before the backup could be of
/// use.
const MIN_BACKUP_TOKENS: u64 = 120;

/// Reservations at the engine that runs a generation and at the engine that receives backup copies
/// of its memory.
pub struct GenerationReservation {
    /// Engine that runs the generation.
    pub engine: ServerReservation,
    /// Engine that receives the backup copies.
    pub backup: Option<ServerReservation>,
}

impl GenerationReservation {
    /// Reserves an engine for a request and, if the generation is long enough, a backup engine.
    pub fn take(
        context: &Arc<GatewayContext>,
        request: &CallerRequest,
        excluded: &BTreeSet<ServerKey>,
    ) -> Option<GenerationReservation> {
        let now = context.clock.now();
        let placement = context.view().place(&request.query(excluded), now).ok()?;
        let engine = ServerReservation::new(context, placement);
        Some(GenerationReservation::with_backup(context, request, engine, excluded))
    }

    /// Adds a backup engine, if possible, to a reserved engine.
    pub fn with_backup(
        context: &Arc<GatewayContext>,
        request: &CallerRequest,
        engine: ServerReservation,
        excluded: &BTreeSet<ServerKey>,
    ) -> GenerationReservation {
        if request.demand.output_tokens < MIN_BACKUP_TOKENS
            || !context.can_back_up(&request.service)
        {
            return GenerationReservation { engine, backup: None };
        }
        let mut excluded = excluded.clone();
        excluded.insert(engine.server());
        let now = context.clock.now();
        let zone = context.view().server(engine.server()).map(|state| state.record.zone.clone());
        let mut query = request.query(&excluded);
        query.preferred_zone = zone.as_deref();
        let placement = context.view().place_copy(&query, engine.server(), now);
        let backup = placement.ok().map(|placement| ServerReservation::new(context, placement));
        if backup.is_none() {
            info!(id = request.attempt, engine = engine.id(), "stream: no engine for copies");
        }
        GenerationReservation { engine, backup }
    }

    /// Returns the address of the backup engine as a header value.
    pub fn backup_address(&self) -> Option<String> {
        self.backup.as_ref().map(|backup| backup.address().to_string())
    }

    /// Updates the reserved memory after the generation has produced `made_tokens` output tokens.
    pub fn resize(&mut self, request: &CallerRequest, made_tokens: u64) {
        let tokens = request.demand.reserved_after(made_tokens);
        self.engine.resize(tokens);
        if let Some(backup) = &mut self.backup {
            backup.resize(tokens);
        }
    }

    /// Releases the load on both engines.
    pub fn close(self) {
        self.engine.close();
        if let Some(backup) = self.backup {
            backup.close();
        }
    }
}
