//! State that VMs send each other and merge by maximum: version moves and zone overrides.

use std::collections::BTreeMap;
use std::time::Duration;

use dragonflycart_core::{MoveId, OperatingPlan, PlanRevision, WallTime, ZoneName};
use dragonflycart_wire::{GossipUpdate, MoveEnd, MoveStateUpdate, ZoneOverride};

use crate::{MoveState, PlanState};

/// Maximum number of ended moves kept after the plan no longer names them. They are kept so that a
/// plan that names such a move again does not start it again.
const MAX_ENDED_MOVES: usize = 256;

/// Minimum time between a zone override and the submission of a plan that ends it. It covers the
/// difference between the wall clocks of two VMs; a plan submitted earlier keeps the zone out.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// State of one version move. Ordered by `state` first, so that the merged entry is the maximum.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MoveEntry {
    state: MoveState,
    set_at: PlanRevision,
    reason: String,
}

/// Override of one availability zone. Time and author are merged together by maximum, the revision
/// on its own.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ZoneEntry {
    set_at: WallTime,
    revision: PlanRevision,
    author: String,
}

/// Gossip state of one VM. Entries only increase, so merging in any order and any number of times
/// leads to the same state on all VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipState {
    moves: BTreeMap<MoveId, MoveEntry>,
    zones: BTreeMap<ZoneName, ZoneEntry>,
}

impl GossipState {
    /// Sets the state of a move unless a higher one is known. Returns whether it changed.
    pub fn set_move(
        &mut self,
        move_id: &MoveId,
        state: MoveState,
        set_at: PlanRevision,
        reason: &str,
    ) -> bool {
        let entry = MoveEntry { state, set_at, reason: reason.to_owned() };
        match self.moves.get(move_id) {
            Some(known) if *known >= entry => false,
            _ => {
                self.moves.insert(move_id.clone(), entry);
                true
            }
        }
    }

    /// Takes an availability zone out of service. Returns whether its override changed.
    pub fn set_zone(
        &mut self,
        zone: &ZoneName,
        set_at: WallTime,
        revision: PlanRevision,
        author: &str,
    ) -> bool {
        let entry = ZoneEntry { set_at, revision, author: author.to_owned() };
        let Some(known) = self.zones.get_mut(zone) else {
            self.zones.insert(zone.clone(), entry);
            return true;
        };
        let before = known.clone();
        let later = (entry.set_at, &entry.author) > (known.set_at, &known.author);
        if later {
            known.set_at = entry.set_at;
            known.author = entry.author;
        }
        known.revision = known.revision.max(revision);
        *known != before
    }

    /// Merges the state of a peer. Returns whether anything changed and has to be passed on.
    pub fn merge(&mut self, message: &GossipUpdate) -> bool {
        let mut changed = false;
        for entry in &message.moves {
            let move_id = MoveId(entry.move_id.clone());
            let state = MoveState::from_number(entry.state);
            let set_at = PlanRevision(entry.set_at_revision);
            changed |= self.set_move(&move_id, state, set_at, &entry.reason);
        }
        for entry in &message.zones {
            let Ok(zone) = ZoneName::new(&entry.zone) else {
                continue;
            };
            let set_at = WallTime::from_unix_millis(entry.set_at_ms);
            let revision = PlanRevision(entry.set_at_revision);
            changed |= self.set_zone(&zone, set_at, revision, &entry.author);
        }
        changed
    }

    /// Applies a record of topic `moves`. Returns whether the state of the move changed.
    pub fn apply_end(&mut self, end: &MoveEnd, revision: PlanRevision) -> bool {
        let state = if end.rolled_back { MoveState::RolledBack } else { MoveState::Done };
        self.set_move(&MoveId(end.move_id.clone()), state, revision, &end.reason)
    }

    /// Returns the state of a move.
    pub fn move_state(&self, move_id: &MoveId) -> MoveState {
        self.moves.get(move_id).map_or(MoveState::Running, |entry| entry.state)
    }

    /// Returns the reason for the state of a move; empty while the move runs.
    pub fn move_reason(&self, move_id: &MoveId) -> &str {
        self.moves.get(move_id).map_or("", |entry| entry.reason.as_str())
    }

    /// Returns whether an override keeps an availability zone out of service under the plan in
    /// effect.
    ///
    /// A plan ends an override only if it is later both by revision and by submission. The revision
    /// alone is not enough: an override set through a VM that lags behind names a revision that
    /// others have passed already.
    pub fn zone_is_out(&self, zone: &ZoneName, plan: &PlanState) -> bool {
        self.zones.get(zone).is_some_and(|entry| !entry.is_ended_by(plan))
    }

    /// Returns the operator who set the override of the zone.
    pub fn zone_author(&self, zone: &ZoneName) -> Option<&str> {
        self.zones.get(zone).map(|entry| entry.author.as_str())
    }

    /// Returns the state as a message for peers.
    pub fn to_wire(&self) -> GossipUpdate {
        let mut message = GossipUpdate::default();
        for (move_id, entry) in &self.moves {
            message.moves.push(MoveStateUpdate {
                move_id: move_id.0.clone(),
                state: entry.state.number(),
                reason: entry.reason.clone(),
                set_at_revision: entry.set_at.0,
            });
        }
        for (zone, entry) in &self.zones {
            message.zones.push(ZoneOverride {
                zone: zone.to_string(),
                set_at_revision: entry.revision.0,
                author: entry.author.clone(),
                set_at_ms: entry.set_at.as_unix_millis(),
            });
        }
        message
    }

    /// Removes the oldest moves that the plan no longer names, beyond a fixed number. Moves of a
    /// plan that has not arrived yet are kept.
    pub fn prune_moves(&mut self, plan: &OperatingPlan, revision: PlanRevision) {
        let mut ended = Vec::new();
        for (move_id, entry) in &self.moves {
            if !plan.moves.contains_key(move_id) && entry.set_at <= revision {
                ended.push((entry.set_at, move_id.clone()));
            }
        }
        ended.sort();
        let excess = ended.len().saturating_sub(MAX_ENDED_MOVES);
        for (_, move_id) in ended.into_iter().take(excess) {
            self.moves.remove(&move_id);
        }
    }
}

impl ZoneEntry {
    fn is_ended_by(&self, plan: &PlanState) -> bool {
        plan.revision() > self.revision && plan.submitted_at() >= self.set_at.after(MAX_CLOCK_SKEW)
    }
}
