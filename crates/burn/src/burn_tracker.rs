//! Event counting in the daemon.

use dragonflycart_core::{Incarnation, VmOrdinal, WallTime, ZoneName};

use crate::{
    BurnSnapshot, ObjectiveSnapshot, SliEvent, SloDefinition, objective_snapshot::MINUTE_MS,
};

/// Counts good and bad events per objective. It performs no I/O and reads no clock.
#[derive(Debug, Clone)]
pub struct BurnTracker {
    zone: ZoneName,
    ordinal: VmOrdinal,
    incarnation: Incarnation,
    started_at: WallTime,
    pruned_minute: u64,
    objectives: Vec<ObjectiveSnapshot>,
}

impl BurnTracker {
    /// Creates a tracker without events for the given VM.
    pub fn new(
        zone: ZoneName,
        ordinal: VmOrdinal,
        incarnation: Incarnation,
        started_at: WallTime,
        objectives: Vec<SloDefinition>,
    ) -> BurnTracker {
        let objectives = objectives.into_iter().map(ObjectiveSnapshot::new).collect();
        BurnTracker { zone, ordinal, incarnation, started_at, pruned_minute: 0, objectives }
    }

    /// Counts an event for every objective that covers it.
    pub fn record(&mut self, now: WallTime, event: &SliEvent) {
        for objective in &mut self.objectives {
            if objective.objective.covers(event) {
                objective.record(now, event);
            }
        }
        // Pruning walks all counts, so it runs once a minute rather than for each event.
        let minute = now.as_unix_millis() / MINUTE_MS;
        if minute > self.pruned_minute {
            self.pruned_minute = minute;
            self.prune(now);
        }
    }

    fn prune(&mut self, now: WallTime) {
        for objective in &mut self.objectives {
            objective.prune(now);
        }
    }

    /// Returns all counts, for the administration API.
    pub fn snapshot(&mut self, now: WallTime) -> BurnSnapshot {
        self.prune(now);
        BurnSnapshot {
            zone: self.zone.clone(),
            ordinal: self.ordinal,
            incarnation: self.incarnation.to_string(),
            started_at: self.started_at,
            taken_at: now,
            objectives: self.objectives.clone(),
        }
    }
}
