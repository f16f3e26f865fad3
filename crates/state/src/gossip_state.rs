//! Latches of version moves and availability zones.

use std::collections::BTreeMap;
use std::time::Duration;

use dragonflycart_core::{MoveId, OperatingPlan, PlanRevision, WallTime, ZoneName};
use dragonflycart_wire::{GossipUpdate, MoveEnd, MoveStateUpdate, ZoneOverride};

use crate::{MoveState, PlanState};

/// Ended moves that are remembered although the plan no longer names them. A plan that names such
/// a move again must not start it again.
const ENDED_MOVES_KEPT: usize = 256;

/// Least time between a zone latch and the submission of a plan that ends it. It covers the
/// difference between the wall clocks of two VMs; a plan submitted earlier keeps the zone out.
const CLOCK_MARGIN: Duration = Duration::from_secs(2);

/// Latch of one move. Ordered by state, so that the maximum is the merged latch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MoveMark {
    state: MoveState,
    set_at: PlanRevision,
    reason: String,
}

/// Latch of one availability zone. The fields are merged separately by maximum.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ZoneMark {
    set_at: WallTime,
    revision: PlanRevision,
    author: String,
}

/// Latches known to one VM. They only grow, so that merging in any order, any number of times,
/// leads to the same state on all VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipState {
    moves: BTreeMap<MoveId, MoveMark>,
    zones: BTreeMap<ZoneName, ZoneMark>,
}

impl GossipState {
    /// Raises the latch of a move. Returns whether it changed.
    pub fn set_move(
        &mut self,
        move_id: &MoveId,
        state: MoveState,
        set_at: PlanRevision,
        reason: &str,
    ) -> bool {
        let mark = MoveMark { state, set_at, reason: reason.to_owned() };
        match self.moves.get(move_id) {
            Some(known) if *known >= mark => false,
            _ => {
                self.moves.insert(move_id.clone(), mark);
                true
            }
        }
    }

    /// Takes an availability zone out. Returns whether the latch changed.
    pub fn set_zone(
        &mut self,
        zone: &ZoneName,
        set_at: WallTime,
        revision: PlanRevision,
        author: &str,
    ) -> bool {
        let mark = ZoneMark { set_at, revision, author: author.to_owned() };
        let Some(known) = self.zones.get_mut(zone) else {
            self.zones.insert(zone.clone(), mark);
            return true;
        };
        let before = known.clone();
        let later = (mark.set_at, &mark.author) > (known.set_at, &known.author);
        if later {
            known.set_at = mark.set_at;
            known.author = mark.author;
        }
        known.revision = known.revision.max(revision);
        *known != before
    }

    /// Merges the latches of a peer. Returns whether anything changed and is to be passed on.
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

    /// Applies a record of topic `moves`. Returns whether the latch changed.
    pub fn apply_end(&mut self, end: &MoveEnd, revision: PlanRevision) -> bool {
        let state = if end.rolled_back { MoveState::RolledBack } else { MoveState::Done };
        self.set_move(&MoveId(end.move_id.clone()), state, revision, &end.reason)
    }

    /// Returns the state of a move.
    pub fn move_state(&self, move_id: &MoveId) -> MoveState {
        self.moves.get(move_id).map_or(MoveState::Running, |mark| mark.state)
    }

    /// Returns why a move has its state; empty while it runs.
    pub fn move_reason(&self, move_id: &MoveId) -> &str {
        self.moves.get(move_id).map_or("", |mark| mark.reason.as_str())
    }

    /// Returns whether an availability zone is latched out under the plan in force.
    ///
    /// The plan must be later both by revision and by submission. Revision alone is not enough: a
    /// latch set through a VM that lags behind names a revision that others have passed already.
    pub fn zone_is_out(&self, zone: &ZoneName, plan: &PlanState) -> bool {
        self.zones.get(zone).is_some_and(|mark| !mark.is_ended_by(plan))
    }

    /// Returns the operator who latched the zone.
    pub fn zone_author(&self, zone: &ZoneName) -> Option<&str> {
        self.zones.get(zone).map(|mark| mark.author.as_str())
    }

    /// Returns the latches as a message for peers.
    pub fn to_wire(&self) -> GossipUpdate {
        let mut message = GossipUpdate::default();
        for (move_id, mark) in &self.moves {
            message.moves.push(MoveStateUpdate {
                move_id: move_id.0.clone(),
                state: mark.state.number(),
                reason: mark.reason.clone(),
                set_at_revision: mark.set_at.0,
            });
        }
        for (zone, mark) in &self.zones {
            message.zones.push(ZoneOverride {
                zone: zone.to_string(),
                set_at_revision: mark.revision.0,
                author: mark.author.clone(),
                set_at_ms: mark.set_at.as_unix_millis(),
            });
        }
        message
    }

    /// Removes the oldest latches of moves that the plan no longer names, beyond a fixed number.
    /// Moves of a plan that has not arrived here yet are kept.
    pub fn prune_moves(&mut self, plan: &OperatingPlan, revision: PlanRevision) {
        let mut ended = Vec::new();
        for (move_id, mark) in &self.moves {
            if !plan.moves.contains_key(move_id) && mark.set_at <= revision {
                ended.push((mark.set_at, move_id.clone()));
            }
        }
        ended.sort();
        let excess = ended.len().saturating_sub(ENDED_MOVES_KEPT);
        for (_, move_id) in ended.into_iter().take(excess) {
            self.moves.remove(&move_id);
        }
    }
}

impl ZoneMark {
    fn is_ended_by(&self, plan: &PlanState) -> bool {
        plan.revision() > self.revision && plan.submitted_at() >= self.set_at.after(CLOCK_MARGIN)
    }
}
